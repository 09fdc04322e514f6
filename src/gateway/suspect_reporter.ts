/** Tells control what this gateway sees of suspected requests: many things in one call, each until it is acknowledged. */
import {CrashReport} from '../protocol/crash_report';
import {InterruptedAttempt} from './interrupted_attempt';

/** Runs on one backend server break within milliseconds of one another and are told together. */
const JOIN_MS = 5;
/** Between two tries while control does not answer. */
const RETRY_MS = 200;
/** What one gateway tells of one end, of each kind; control takes twice as many, and more can hardly have run there. */
const MAX_RUNS = 256;
/** Ends in one report, some 2 MB at the most; while control is away the oldest are given up. */
const MAX_ENDS = 64;
/** Names of trials and of requests that ran, the same. */
const MAX_NAMES = 1_024;

/** One call. */
interface SuspectReport {
  readonly crashes: CrashReport[];
  readonly released: string[];
  readonly cleared: string[];
}

interface Crash {
  readonly notBegun: Set<string>;
  readonly begun: Set<string>;
}

/** What waits to be told. */
export class SuspectReporter {
  private crashes = new Map<string, Crash>();
  private released = new Set<string>();
  private cleared = new Set<string>();
  /** Requests of which an end is told just now, or was not acknowledged. */
  private underWay = new Set<string>();
  private timer: NodeJS.Timeout | undefined;
  private isSending = false;
  private isClosed = false;

  private constructor(
    private readonly send: (report: SuspectReport) => Promise<unknown>,
  ) {}

  /**
   * Creates a reporter that has nothing to tell.
   *
   * @param send resolves once control has written it down
   * @example
   * const reporter = SuspectReporter.create(report => client.ask({type: 'ends-ask', gatewayId, ...report}));
   */
  static create(
    send: (report: SuspectReport) => Promise<unknown>,
  ): SuspectReporter {
    return new SuspectReporter(send);
  }

  /** A backend server ended under this request. */
  recordCrash({
    target,
    name,
    hasResponseStarted: hasBegun,
  }: InterruptedAttempt): void {
    const known = this.crashes.get(target.incarnation);
    const crash = known ?? {notBegun: new Set(), begun: new Set()};
    this.crashes.set(target.incarnation, crash);
    this.crashes = new Map([...this.crashes].slice(-MAX_ENDS));
    const names = hasBegun ? crash.begun : crash.notBegun;
    if (names.size < MAX_RUNS) {
      names.add(name);
    }
    this.schedule(JOIN_MS);
  }

  /** Its trial is over, and nothing ended. */
  reportReleased(name: string): void {
    this.released.add(name);
    this.schedule(JOIN_MS);
  }

  /** It ran to its end. */
  reportCleared(name: string): void {
    this.cleared.add(name);
    this.schedule(JOIN_MS);
  }

  /** Control does not know yet what is held against this request. */
  isPending(name: string): boolean {
    return (
      this.underWay.has(name) ||
      [...this.crashes.values()].some(({notBegun}) => notBegun.has(name))
    );
  }

  /** Tells nothing any more. */
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
    this.underWay = listNotBegun(crashes);
    this.isSending = true;
    const isTold = await this.send({
      crashes: [...crashes].map(([incarnation, {notBegun, begun}]) => ({
        incarnation,
        notBegun: [...notBegun],
        begun: [...begun],
      })),
      released: [...released],
      cleared: [...cleared],
    }).then(
      () => true,
      () => false,
    );
    this.isSending = false;
    if (!isTold) {
      this.storeUntold(crashes, released, cleared);
    }
    this.underWay = new Set();
    if (this.crashes.size + this.released.size + this.cleared.size > 0) {
      this.schedule(isTold ? JOIN_MS : RETRY_MS);
    }
  }

  private storeUntold(
    crashes: ReadonlyMap<string, Crash>,
    released: ReadonlySet<string>,
    cleared: ReadonlySet<string>,
  ): void {
    const joined = new Map([...crashes, ...this.crashes]);
    for (const [incarnation, {notBegun, begun}] of crashes) {
      const newer = this.crashes.get(incarnation);
      joined.set(incarnation, {
        notBegun: joinNewest(notBegun, newer?.notBegun, MAX_RUNS),
        begun: joinNewest(begun, newer?.begun, MAX_RUNS),
      });
    }
    this.crashes = new Map([...joined].slice(-MAX_ENDS));
    this.released = joinNewest(released, this.released, MAX_NAMES);
    this.cleared = joinNewest(cleared, this.cleared, MAX_NAMES);
  }
}

function listNotBegun(crashes: ReadonlyMap<string, Crash>): Set<string> {
  return new Set([...crashes.values()].flatMap(({notBegun}) => [...notBegun]));
}

function joinNewest(
  older: ReadonlySet<string>,
  newer: ReadonlySet<string> | undefined,
  most: number,
): Set<string> {
  return new Set([...new Set([...older, ...(newer ?? [])])].slice(-most));
}
