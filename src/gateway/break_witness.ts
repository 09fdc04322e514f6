/** Finds out whether backend servers on which connections broke have ended. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {parseAddress} from '../protocol/parse_address';
import {probePort} from '../transport/probe_port';
import {BrokenRun} from './broken_run';

/** A refusal comes within a round trip; silence says nothing, however long. */
const PROBE_MS = 300;
/** Runs break within milliseconds of one another when their backend server ends; what breaks later is looked at anew. */
const SAME_BREAK_MS = 1_000;
/** Identities in one line of the log; a line names every request that may have done it, and rarely more than three have not begun. */
const MAX_NAMED = 8;

/** What is known about a backend server after a connection to it broke. */
type Fate = 'ended' | 'lives' | 'unknown';

interface Case {
  readonly since: number;
  readonly runs: BrokenRun[];
  readonly fate: Promise<Fate>;
}

const FATES = {
  refuses: 'ended',
  listens: 'lives',
  silent: 'unknown',
} as const;

const REASONS: Readonly<Record<Fate, string>> = {
  ended: 'connections broke and nobody listens there any more',
  lives: 'connections broke, and it takes new ones',
  unknown: 'connections broke, and a new one had no answer',
};

/** What a witness works with. */
interface BreakWitnessOptions {
  readonly clock: Clock;
  readonly events: EventRing;
  readonly probe?: typeof probePort;
}

/** Asks once for each break, however many requests it hit. */
export class BreakWitness {
  private readonly cases = new Map<string, Case>();

  private constructor(private readonly options: BreakWitnessOptions) {}

  /**
   * Creates a witness that has seen nothing.
   *
   * @example
   * const witness = BreakWitness.create({clock, events});
   * const fate = await witness.findFate({target, name: identity.name, hasBegun: false});
   */
  static create(options: BreakWitnessOptions): BreakWitness {
    return new BreakWitness(options);
  }

  /** What became of the backend server of a run whose connection broke. */
  findFate(run: BrokenRun): Promise<Fate> {
    const {incarnation} = run.target;
    const now = this.options.clock.now();
    const known = this.cases.get(incarnation);
    if (known && now - known.since < SAME_BREAK_MS) {
      known.runs.push(run);
      return known.fate;
    }
    const runs = [run];
    const fate = this.probe(run);
    this.cases.set(incarnation, {since: now, runs, fate});
    void fate.then(told => this.record(run.target, told, runs));
    this.expire(now);
    return fate;
  }

  private async probe({target}: BrokenRun): Promise<Fate> {
    const {probe = probePort} = this.options;
    return FATES[await probe(parseAddress(target.address), PROBE_MS)];
  }

  private expire(now: number): void {
    for (const [incarnation, {since}] of this.cases) {
      if (now - since >= SAME_BREAK_MS) {
        this.cases.delete(incarnation);
      }
    }
  }

  private record(
    {incarnation, address}: BrokenRun['target'],
    fate: Fate,
    runs: readonly BrokenRun[],
  ): void {
    const notBegun = runs.filter(({hasBegun}) => !hasBegun);
    const names = notBegun.slice(0, MAX_NAMED).map(({name}) => name);
    this.options.events.record({
      type: 'backend-broke',
      subject: 'host',
      id: incarnation,
      reason: REASONS[fate],
      details: {
        address,
        begun: runs.length - notBegun.length,
        notBegun: notBegun.length,
        requests: names.join(' '),
      },
    });
  }
}
