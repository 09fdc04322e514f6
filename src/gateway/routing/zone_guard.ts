/** Tells to which availability zones requests may be sent now. */
import {GatewayTarget} from '../../protocol/gateway_target';

/** What the gateway knows from control. */
interface ZoneGuardOptions {
  /** False while it is not certain which rules and evacuations are in force. */
  readonly isConfirmed: () => boolean;
  /** For the empty name of an unknown zone, true while any zone is evacuated. */
  readonly isEvacuated: (zone: string) => boolean;
}

/** Checked when a backend server is chosen, and again right before a request is sent. */
export class ZoneGuard {
  private constructor(private readonly options: ZoneGuardOptions) {}

  /**
   * Creates a guard; without options it lets every request through.
   *
   * @example
   * const zones = ZoneGuard.create({isConfirmed: () => poller.isConfirmed(), isEvacuated: zone => poller.evacuations.has(zone)});
   */
  static create(
    options: ZoneGuardOptions = {
      isConfirmed: () => true,
      isEvacuated: () => false,
    },
  ): ZoneGuard {
    return new ZoneGuard(options);
  }

  /** True while it is certain which rules and evacuations are in force. */
  get isConfirmed(): boolean {
    return this.options.isConfirmed();
  }

  /** True for a zone that is not evacuated, as far as this gateway knows. */
  isOpen(zone: string): boolean {
    return !this.options.isEvacuated(zone);
  }

  /** True if the zone of a backend server is certainly not evacuated. */
  canSendTo({zone}: Pick<GatewayTarget, 'zone'>): boolean {
    return this.isOpen(zone) && this.isConfirmed;
  }

  /** Lists the zones of these backend servers if all of them are evacuated; otherwise none. */
  listEvacuated(
    listTargets: () => ReadonlyArray<Pick<GatewayTarget, 'zone'>>,
  ): string[] {
    // Each waiting request asks every few milliseconds, and mostly no zone is evacuated.
    if (this.isOpen('')) {
      return [];
    }
    const zones = new Set(listTargets().map(({zone}) => zone));
    const isAnyOpen = [...zones].some(zone => this.isOpen(zone));
    return isAnyOpen ? [] : [...zones].map(zone => zone || '(unknown)');
  }
}
