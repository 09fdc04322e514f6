/**
 * Reports crashes and trial results to the control plane in batches, and
 * retries each until it is acknowledged.
 */
import {CrashReport} from '../../protocol/crash_report';
import {InterruptedAttempt} from '../interrupted_attempt';

/**
 * All connections to a backend server break within milliseconds and are
 * reported together.
 */
const BATCH_MS = 5;
/** Delay between attempts while the control plane does not answer. */
const RETRY_MS = 200;
/**
 * Requests of each kind reported for one crash; the control plane accepts twice
 * as many, and hardly more can have run on one backend server.
 */
const MAX_REQUESTS_PER_CRASH = 256;
/** Parts of one prompt in a report; the control plane accepts no more. */
const MAX_PARTS = 32;
/**
 * Crashes in one report, about 2 MB at most; while the control plane is
 * unreachable the oldest are dropped.
 */
const MAX_CRASHES = 64;
/**
 * Trial results and completed requests in one report, limited for the same
 * reason.
 */
const MAX_NAMES = 1_024;

/** One report to the control plane. */
interface SuspectReport {
  readonly crashes: CrashReport[];
  readonly released: string[];
  readonly cleared: string[];
}

interface Crash {
  readonly notBegun: Set<string>;
  readonly begun: Set<string>;
  /** Parts of the prompts of those that had not begun, by request. */
  readonly parts: Map<string, readonly string[]>;
}

/** Collects what is still to be reported. */
export class SuspectReporter {
  private crashes = new Map<string, Crash>();
  private released = new Set<string>();
  private cleared = new Set<string>();
  /** Requests whose crash is being reported right now. */
  private sending = new Set<string>();
  private timer: NodeJS.Timeout | undefined;
  private isSending = false;
  private isClosed = false;

  private constructor(
    private readonly send: (report: SuspectReport) => Promise<unknown>,
  ) {}

  /**
   * Creates a reporter with nothing to report.
   *
   * @param send resolves once the control plane has persisted the report
   * @example
   * const reporter = SuspectReporter.create(report => client.ask({type: 'ends-ask', gatewayId, ...report}));
   */
  static create(
    send: (report: SuspectReport) => Promise<unknown>,
  ): SuspectReporter {
    return new SuspectReporter(send);
  }

  /** Records that a backend server crashed while it ran this request. */
  recordCrash(attempt: InterruptedAttempt): void {
    const {target, name, hasResponseStarted, parts = []} = attempt;
    const known = this.crashes.get(target.incarnation);
    const crash = known ?? createCrash();
    this.crashes.set(target.incarnation, crash);
    this.crashes = new Map([...this.crashes].slice(-MAX_CRASHES));
    const names = hasResponseStarted ? crash.begun : crash.notBegun;
    if (names.size < MAX_REQUESTS_PER_CRASH) {
      names.add(name);
    }
    if (parts.length > 0 && crash.notBegun.has(name)) {
      crash.parts.set(name, parts.slice(0, MAX_PARTS));
    }
    this.schedule(BATCH_MS);
  }

  /** Reports that a trial ended without a crash. */
  reportReleased(name: string): void {
    this.released.add(name);
    this.schedule(BATCH_MS);
  }

  /** Reports that a suspected request has completed. */
  reportCleared(name: string): void {
    this.cleared.add(name);
    this.schedule(BATCH_MS);
  }

  /**
   * True while the control plane does not know yet that this request is a
   * suspect.
   */
  isPending(name: string): boolean {
    return (
      this.sending.has(name) ||
      [...this.crashes.values()].some(({notBegun}) => notBegun.has(name))
    );
  }

  /** Stops reporting. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private schedule(ms: number): void {
    if (this.isSending || this.timer || this.isClosed) {
      return;
    }
    this.timer = setTimeout(() => {
      this.timer = undefined;
      void this.flush();
    }, ms);
  }

  private async flush(): Promise<void> {
    const {crashes, released, cleared} = this;
    this.crashes = new Map();
    this.released = new Set();
    this.cleared = new Set();
    this.sending = listUnstarted(crashes);
    this.isSending = true;
    const isAcknowledged = await this.send({
      crashes: [...crashes].map(describeCrash),
      released: [...released],
      cleared: [...cleared],
    }).then(
      () => true,
      () => false,
    );
    this.isSending = false;
    if (!isAcknowledged) {
      this.restoreUnreported(crashes, released, cleared);
    }
    this.sending = new Set();
    if (this.crashes.size + this.released.size + this.cleared.size > 0) {
      this.schedule(isAcknowledged ? BATCH_MS : RETRY_MS);
    }
  }

  private restoreUnreported(
    crashes: ReadonlyMap<string, Crash>,
    released: ReadonlySet<string>,
    cleared: ReadonlySet<string>,
  ): void {
    const merged = new Map([...crashes, ...this.crashes]);
    for (const [incarnation, {notBegun, begun, parts}] of crashes) {
      const newer = this.crashes.get(incarnation);
      merged.set(incarnation, {
        notBegun: mergeNewest(
          notBegun,
          newer?.notBegun,
          MAX_REQUESTS_PER_CRASH,
        ),
        begun: mergeNewest(begun, newer?.begun, MAX_REQUESTS_PER_CRASH),
        parts: new Map([...parts, ...(newer?.parts ?? [])]),
      });
    }
    this.crashes = new Map([...merged].slice(-MAX_CRASHES));
    this.released = mergeNewest(released, this.released, MAX_NAMES);
    this.cleared = mergeNewest(cleared, this.cleared, MAX_NAMES);
  }
}

function createCrash(): Crash {
  return {notBegun: new Set(), begun: new Set(), parts: new Map()};
}

function describeCrash([incarnation, crash]: readonly [
  string,
  Crash,
]): CrashReport {
  const {notBegun, begun, parts} = crash;
  const holders = [...parts]
    .filter(([request]) => notBegun.has(request))
    .map(([request, names]) => ({request, parts: [...names]}));
  return {
    incarnation,
    notBegun: [...notBegun],
    begun: [...begun],
    ...(holders.length > 0 ? {parts: holders} : {}),
  };
}

function listUnstarted(crashes: ReadonlyMap<string, Crash>): Set<string> {
  return new Set([...crashes.values()].flatMap(({notBegun}) => [...notBegun]));
}

function mergeNewest(
  older: ReadonlySet<string>,
  newer: ReadonlySet<string> | undefined,
  limit: number,
): Set<string> {
  return new Set([...new Set([...older, ...(newer ?? [])])].slice(-limit));
}
