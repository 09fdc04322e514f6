/** Tells control what this gateway sees of suspected requests: many things in one call, each until it is acknowledged. */
import {CrashReport} from '../protocol/crash_report';
import {BrokenRun} from './broken_run';

/** Runs on one backend server break within milliseconds of one another and are told together. */
const JOIN_MS = 5;
/** Between two tries while control does not answer. */
const RETRY_MS = 200;
/** What one gateway tells of one end; more can hardly have run there. */
const MAX_RUNS = 256;
/** Ends and names that wait for control to come back; the oldest are given up. */
const MAX_WAITING = 1_024;

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
   * const reporter = SuspectReporter.create(report => client.ask({type: 'suspects-ask', gatewayId, ...report}));
   */
  static create(
    send: (report: SuspectReport) => Promise<unknown>,
  ): SuspectReporter {
    return new SuspectReporter(send);
  }

  /** A backend server ended under this request. */
  recordCrash({target, name, hasBegun}: BrokenRun): void {
    const known = this.crashes.get(target.incarnation);
    const crash = known ?? {notBegun: new Set(), begun: new Set()};
    this.crashes.set(target.incarnation, crash);
    const names = hasBegun ? crash.begun : crash.notBegun;
    if (names.size < MAX_RUNS) {
      names.add(name);
    }
    this.schedule(JOIN_MS);
  }

  /** Its trial is over, and nothing ended. */
  release(name: string): void {
    this.released.add(name);
    this.schedule(JOIN_MS);
  }

  /** It ran to its end. */
  clear(name: string): void {
    this.cleared.add(name);
    this.schedule(JOIN_MS);
  }

  /** Control does not know yet what is held against this request. */
  isWaiting(name: string): boolean {
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
    for (const [incarnation, {notBegun, begun}] of crashes) {
      const newer = this.crashes.get(incarnation);
      this.crashes.set(incarnation, {
        notBegun: new Set([...notBegun, ...(newer?.notBegun ?? [])]),
        begun: new Set([...begun, ...(newer?.begun ?? [])]),
      });
    }
    this.crashes = new Map([...this.crashes].slice(-MAX_WAITING));
    this.released = joinNewest(released, this.released);
    this.cleared = joinNewest(cleared, this.cleared);
  }
}

function listNotBegun(crashes: ReadonlyMap<string, Crash>): Set<string> {
  return new Set([...crashes.values()].flatMap(({notBegun}) => [...notBegun]));
}

function joinNewest(
  older: ReadonlySet<string>,
  newer: ReadonlySet<string>,
): Set<string> {
  return new Set([...older, ...newer].slice(-MAX_WAITING));
}
