/** Which backend servers are cold, as a gateway knows it from their answers and from control. */
import {Clock} from '../../common/clock';
import {EventRing} from '../../common/event_ring';
import {ColdStates} from '../../coordination/limits/cold_states';
import {ColdServerReport} from '../../protocol/cold_server_report';
import {GatewayTarget} from '../../protocol/gateway_target';

/** States reported in one message to control; the rest follows in the next one. */
const MAX_REPORTED = 64;
/** Interval between removals of ended states. */
const EXPIRY_INTERVAL_MS = 1_000;

/** Dependencies of the states. */
interface ColdServersOptions {
  /** A suspension only makes a server count as cold for longer. */
  readonly clock: Clock;
  readonly events: EventRing;
}

/**
 * A server counts as cold until its time is over, it says otherwise, or a leader says so
 * that knows what this gateway knows. A new leader may not have heard of it yet.
 */
export class ColdServers {
  private readonly states = ColdStates.create();
  /** The leader with which the newest state of each server was exchanged. */
  private readonly reportedTo = new Map<string, string>();
  /** The leader that told the newest state of each server; absent if the server did. */
  private readonly learnedFrom = new Map<string, string>();
  private expiredAt = -Infinity;

  private constructor(private readonly options: ColdServersOptions) {}

  /**
   * Creates a table in which every server is warm.
   *
   * @example
   * const cold = ColdServers.create({clock, events});
   */
  static create(options: ColdServersOptions): ColdServers {
    return new ColdServers(options);
  }

  /** True if each request to the server needs a permit. */
  isCold(incarnation: string): boolean {
    return this.states.isCold(incarnation, this.options.clock.now());
  }

  /**
   * Records what a server says in an answer; returns whether control must know it at once.
   *
   * @param sentAt when the request of this answer was sent
   */
  recordAnswer(
    incarnation: string,
    coldForMs: number,
    sentAt: number,
  ): boolean {
    const now = this.options.clock.now();
    // Most answers come from warm servers and change nothing.
    if (coldForMs === 0 && !this.isCold(incarnation)) {
      return false;
    }
    const change = this.states.record({
      incarnation,
      until: now + coldForMs,
      at: coldForMs > 0 ? now : sentAt,
      now,
    });
    if (!change) {
      return false;
    }
    this.reportedTo.delete(incarnation);
    this.learnedFrom.delete(incarnation);
    this.recordEvent(incarnation, change, 'it says so in an answer', coldForMs);
    return change !== 'changed';
  }

  /** Applies the newest targets from a leader. */
  recordTargets(targets: readonly GatewayTarget[], leader: string): void {
    const now = this.options.clock.now();
    for (const {incarnation, coldForMs} of targets) {
      const knowsState = this.reportedTo.get(incarnation) === leader;
      if (coldForMs !== undefined) {
        const until = now + coldForMs;
        if (!knowsState && this.states.findEnd(incarnation) > until) {
          // This gateway knows more, which the leader gets with the next poll.
          continue;
        }
        const change = this.states.record({incarnation, until, at: now, now});
        const reason = 'control says so';
        this.recordEvent(incarnation, change, reason, coldForMs);
        this.reportedTo.set(incarnation, leader);
        this.learnedFrom.set(incarnation, leader);
      } else if (knowsState) {
        this.end(incarnation, 'control says so');
      }
    }
  }

  /** Ends a state, since control says that the server is warm although it got this gateway's state. */
  end(incarnation: string, reason: string): void {
    if (this.states.remove(incarnation, this.options.clock.now())) {
      this.recordEvent(incarnation, 'warm', reason, 0);
    }
    this.reportedTo.delete(incarnation);
    this.learnedFrom.delete(incarnation);
  }

  /** Describes a server that is cold; undefined for one that is warm. */
  describe(incarnation: string): ColdServerReport | undefined {
    return this.isCold(incarnation)
      ? this.describeAll([incarnation])[0]
      : undefined;
  }

  /** Describes the states that a leader does not know from this gateway. */
  listUnreported(leader: string): ColdServerReport[] {
    const unreported = this.states
      .list()
      .filter(incarnation => this.reportedTo.get(incarnation) !== leader)
      .slice(0, MAX_REPORTED);
    return this.describeAll(unreported);
  }

  /** Records that a leader answered to these reports. */
  recordReported(reports: readonly ColdServerReport[], leader: string): void {
    for (const {incarnation} of reports) {
      this.reportedTo.set(incarnation, leader);
    }
  }

  /** Removes states that have ended. */
  expire(): void {
    const now = this.options.clock.now();
    if (now - this.expiredAt < EXPIRY_INTERVAL_MS) {
      return;
    }
    for (const incarnation of this.states.expire(now, this.expiredAt)) {
      const reason = 'the time for which it was cold is over';
      this.recordEvent(incarnation, 'warm', reason, 0);
    }
    this.expiredAt = now;
    const known = new Set(this.states.list());
    for (const table of [this.reportedTo, this.learnedFrom]) {
      for (const incarnation of table.keys()) {
        if (!known.has(incarnation)) {
          table.delete(incarnation);
        }
      }
    }
  }

  private describeAll(incarnations: readonly string[]): ColdServerReport[] {
    const now = this.options.clock.now();
    return this.states.describe(incarnations, now).map(report => {
      const leader = this.learnedFrom.get(report.incarnation);
      return leader === undefined ? report : {...report, leader};
    });
  }

  private recordEvent(
    incarnation: string,
    change: ReturnType<ColdStates['record']>,
    reason: string,
    coldForMs: number,
  ): void {
    if (change === undefined || change === 'changed') {
      return;
    }
    this.options.events.record({
      type: `backend-${change}`,
      subject: 'host',
      id: incarnation,
      reason,
      details: change === 'cold' ? {forMs: Math.round(coldForMs)} : {},
    });
  }
}
