/** Finds out whether backend servers whose connections broke have crashed. */
import {Clock} from '../../common/clock';
import {EventRing} from '../../common/event_ring';
import {probeListener} from '../../transport/probe_listener';
import {InterruptedAttempt} from '../interrupted_attempt';

/**
 * All connections to a backend server break within milliseconds when its
 * process ends; a later break is probed again.
 */
const CONNECTION_LOSS_WINDOW_MS = 1_000;
/**
 * Identities in one log entry, which names each request that may have caused
 * the crash; usually no more than three have no response yet.
 */
const MAX_NAMED = 8;

/** The state of a backend server's process after a connection to it broke. */
type ProcessState = 'ended' | 'alive' | 'unknown';

interface ConnectionLoss {
  readonly since: number;
  readonly attempts: InterruptedAttempt[];
  readonly state: Promise<ProcessState>;
}

const STATES = {
  refuses: 'ended',
  listens: 'alive',
  silent: 'unknown',
} as const;

const REASONS: Readonly<Record<ProcessState, string>> = {
  ended: 'connections broke and new ones are refused',
  alive: 'connections broke, but new ones are accepted',
  unknown: 'connections broke and a new one timed out',
};

/** Dependencies of the detector. */
interface CrashDetectorOptions {
  readonly clock: Clock;
  readonly events: EventRing;
  readonly probe?: typeof probeListener;
}

/** Probes once per connection loss, however many requests it affects. */
export class CrashDetector {
  private readonly connectionLosses = new Map<string, ConnectionLoss>();

  private constructor(private readonly options: CrashDetectorOptions) {}

  /**
   * Creates a detector.
   *
   * @example
   * const detector = CrashDetector.create({clock, events});
   * const state = await detector.detectState({target, name: identity.name, hasResponseStarted: false});
   */
  static create(options: CrashDetectorOptions): CrashDetector {
    return new CrashDetector(options);
  }

  /** Probes the backend server of an attempt whose connection broke. */
  detectState(attempt: InterruptedAttempt): Promise<ProcessState> {
    const {incarnation} = attempt.target;
    const now = this.options.clock.now();
    const known = this.connectionLosses.get(incarnation);
    if (known && now - known.since < CONNECTION_LOSS_WINDOW_MS) {
      known.attempts.push(attempt);
      return known.state;
    }
    const attempts = [attempt];
    // A server that could not be probed is not known to have ended.
    const state = this.probe(attempt).catch(() => STATES.silent);
    this.connectionLosses.set(incarnation, {since: now, attempts, state});
    void state.then(found => this.record(attempt.target, found, attempts));
    this.expire(now);
    return state;
  }

  private async probe({target}: InterruptedAttempt): Promise<ProcessState> {
    const {probe = probeListener} = this.options;
    return STATES[await probe(target.address)];
  }

  private expire(now: number): void {
    for (const [incarnation, {since}] of this.connectionLosses) {
      if (now - since >= CONNECTION_LOSS_WINDOW_MS) {
        this.connectionLosses.delete(incarnation);
      }
    }
  }

  private record(
    {incarnation, address}: InterruptedAttempt['target'],
    state: ProcessState,
    attempts: readonly InterruptedAttempt[],
  ): void {
    const unstarted = attempts.filter(
      ({hasResponseStarted}) => !hasResponseStarted,
    );
    const names = unstarted.slice(0, MAX_NAMED).map(({name}) => name);
    const parts = unstarted.flatMap(attempt => attempt.parts ?? []);
    this.options.events.record({
      type: 'backend-broke',
      subject: 'host',
      id: incarnation,
      reason: REASONS[state],
      details: {
        address: address.toString(),
        begun: attempts.length - unstarted.length,
        notBegun: unstarted.length,
        requests: names.join(' '),
        parts: [...new Set(parts)].slice(0, MAX_NAMED).join(' '),
      },
    });
  }
}
