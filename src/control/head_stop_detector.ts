/** Decides when the unreachable head of a group has certainly stopped using its members. */
import {ServerAddress} from '../common/server_address';
import {EngineGroup} from '../protocol/engine_group';
import {BackendRegistry} from './backend_registry';

/** Added to the stall timeout of a head, for messages in flight. */
const MARGIN_MS = 500;

/**
 * Tracks since when each group has been marked as released, which means that a member
 * left it. A head that lacks a member stalls, and reports itself as broken after the
 * stall timeout. All control processes track this, so that a new leader doesn't have to
 * start over; one that learns of the mark late counts from then, which is safe.
 */
export class HeadStopDetector {
  private readonly releasedAt = new Map<string, number>();

  private constructor(
    private readonly registry: BackendRegistry,
    private readonly stallMs: number,
  ) {}

  /**
   * Creates a detector without any released groups.
   *
   * @param stallMs time for which a head stalls before it reports itself as broken
   * @example
   * const detector = HeadStopDetector.create(registry, 5000);
   */
  static create(registry: BackendRegistry, stallMs: number): HeadStopDetector {
    return new HeadStopDetector(registry, stallMs);
  }

  /** Records which groups are marked as released. */
  refresh(groups: readonly EngineGroup[], now: number): void {
    const released = groups.filter(group => group.isReleased).map(createKey);
    for (const key of this.releasedAt.keys()) {
      if (!released.includes(key)) {
        this.releasedAt.delete(key);
      }
    }
    for (const key of released) {
      this.releasedAt.set(key, this.releasedAt.get(key) ?? now);
    }
  }

  /** True once the stall timeout of the head is over, or another process has replaced the head. */
  isHeadStopped(group: EngineGroup, now: number): boolean {
    const [head] = group.members;
    // Registrations have the canonical text, which another version may not have committed.
    const address = ServerAddress.find(head.address)?.toString();
    const isReplaced = this.registry
      .list()
      .some(
        ({registration}) =>
          registration.incarnation !== head.incarnation &&
          (registration.address === address ||
            (head.name !== undefined && registration.name === head.name)),
      );
    const releasedAt = this.releasedAt.get(createKey(group)) ?? Infinity;
    return isReplaced || now - releasedAt > this.stallMs + MARGIN_MS;
  }

  /** True if the registration of a member other than the head shows that it isn't in this group. */
  hasDepartedMember(group: EngineGroup): boolean {
    return group.members.slice(1).some(({incarnation}) => {
      const view = this.registry.find(incarnation);
      const reported = view?.registration.group;
      const isMember =
        reported?.name === group.name && reported.epoch === group.epoch;
      return view !== undefined && !isMember;
    });
  }
}

function createKey({name, epoch}: EngineGroup): string {
  return `${name} ${epoch}`;
}
