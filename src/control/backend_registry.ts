/** What the leader has heard from backend servers lately; never replicated. */
import {BackendView} from '../coordination/backend_view';
import {BackendRegistration} from '../protocol/backend_registration';

/** Silence after which a backend server is forgotten: it said no goodbye. */
const FORGET_AFTER_MS = 30_000;

/** The newest registration of each start of a backend server. */
export class BackendRegistry {
  private readonly views = new Map<string, BackendView>();
  private changes = 0;

  private constructor() {}

  /**
   * Creates an empty registry.
   *
   * @example
   * const registry = BackendRegistry.create();
   */
  static create(): BackendRegistry {
    return new BackendRegistry();
  }

  /** Rises with each change that gateways or the planner care about. */
  get version(): number {
    return this.changes;
  }

  /** Takes a registration unless a newer one came first; tells whether it says anything new. */
  record(registration: BackendRegistration, now: number): boolean {
    const known = this.views.get(registration.incarnation);
    if (known && known.registration.sequence > registration.sequence) {
      return false;
    }
    const isNews = !known || describe(known) !== describe({registration});
    this.views.set(registration.incarnation, {
      registration,
      seenAt: now,
      firstSeenAt: known?.firstSeenAt ?? now,
      heldModel: registration.model ?? known?.heldModel,
    });
    if (!known) {
      this.dropPredecessors(registration);
    }
    this.changes += isNews ? 1 : 0;
    return isNews;
  }

  /** Notes a group state that an engine told outside its registrations. */
  recordGroup(
    incarnation: string,
    group: BackendRegistration['group'],
    now: number,
  ): void {
    const known = this.views.get(incarnation);
    if (known) {
      this.record({...known.registration, group}, now);
    }
  }

  remove(incarnation: string): void {
    this.changes += this.views.delete(incarnation) ? 1 : 0;
  }

  /** Forgets those that were silent for long. */
  expire(now: number): void {
    for (const [incarnation, view] of this.views) {
      if (now - view.seenAt > FORGET_AFTER_MS) {
        this.remove(incarnation);
      }
    }
  }

  list(): BackendView[] {
    return [...this.views.values()];
  }

  find(incarnation: string): BackendView | undefined {
    return this.views.get(incarnation);
  }

  /** Forgets everything: another process may lead now. */
  clear(): void {
    this.views.clear();
    this.changes += 1;
  }

  /** A new start at the same address ends the one before. */
  private dropPredecessors({incarnation, address}: BackendRegistration): void {
    for (const {registration} of this.list()) {
      const isOther = registration.incarnation !== incarnation;
      if (isOther && registration.address === address) {
        this.remove(registration.incarnation);
      }
    }
  }
}

/** Everything but the counter of calls. */
function describe({registration}: {registration: BackendRegistration}): string {
  return JSON.stringify({...registration, sequence: 0});
}
