/** Logs why hosts serve nobody. */
import {EventRing} from '../common/event_ring';
import {EnginePlanInput} from '../coordination/groups/engine_plan_input';
import {IdleHost} from '../coordination/groups/idle_host';
import {listIdleHosts} from '../coordination/groups/list_idle_hosts';

/** Hosts pass through states that last shorter; a line for each would say little. */
const CHECK_EVERY_MS = 500;

/** The last reason that was logged for a host. */
interface Entry {
  readonly reason: string;
  readonly since: number;
}

/** Records a line when the reason of a host changes, and one when it serves again. */
export class IdleHostLog {
  private readonly reasons = new Map<string, Entry>();
  private readonly checkedAt = new Map<string, number>();

  private constructor(private readonly events: EventRing) {}

  /**
   * Creates a log that has recorded nothing.
   *
   * @example
   * const idleHosts = IdleHostLog.create(events);
   * idleHosts.record(input);
   */
  static create(events: EventRing): IdleHostLog {
    return new IdleHostLog(events);
  }

  /** Forgets what was recorded, since another process led meanwhile. */
  clear(): void {
    this.reasons.clear();
    this.checkedAt.clear();
  }

  /** Records what changed in a pool since the last check. */
  record(input: EnginePlanInput): void {
    const {pool, now} = input;
    if (now - (this.checkedAt.get(pool) ?? -Infinity) < CHECK_EVERY_MS) {
      return;
    }
    this.checkedAt.set(pool, now);
    this.recordHosts(listIdleHosts(input), input);
  }

  private recordHosts(
    idle: readonly IdleHost[],
    {pool, now}: EnginePlanInput,
  ): void {
    const listed = new Set<string>();
    for (const {host, reason} of idle) {
      const {incarnation, domain, stagedModels} = host.registration;
      listed.add(incarnation);
      const known = this.reasons.get(incarnation);
      if (known?.reason !== reason) {
        this.reasons.set(incarnation, {reason, since: known?.since ?? now});
        this.events.record({
          type: 'host-idle',
          subject: 'host',
          id: incarnation,
          reason,
          details: {
            pool,
            domain: domain ?? '',
            model: host.loadedModel ?? '',
            staged: stagedModels.join(' '),
            idleMs: Math.round(now - (known?.since ?? now)),
          },
        });
      }
    }
    for (const [incarnation, {since}] of this.reasons) {
      if (!listed.has(incarnation)) {
        this.reasons.delete(incarnation);
        this.events.record({
          type: 'host-used',
          subject: 'host',
          id: incarnation,
          reason: 'it serves, or is gone',
          details: {pool, idleMs: Math.round(now - since)},
        });
      }
    }
  }
}
