/** Verdicts on requests that were acknowledged on a simulated day, which nobody who answers may have lost. */
import {RaftRuntime} from '../../src/control/raft_runtime';

/** Ends of different requests are told apart by this much, so that none looks like a wave. */
const APART_MS = 60_000;

export class VerdictLedger {
  private readonly convicted: string[] = [];
  private count = 0;

  private constructor() {}

  static create(): VerdictLedger {
    return new VerdictLedger();
  }

  /**
   * Two backend servers end under a request of a caller of its own.
   *
   * @param isAnswered told once it is committed: whether somebody heard so
   */
  convict(runtime: RaftRuntime, isAnswered: () => boolean): void {
    this.count += 1;
    const request = `caller${String(this.count).padStart(2, '0')}-x`;
    const end = (incarnation: string) => {
      return {incarnation, notBegun: [request], begun: []};
    };
    const told = {
      type: 'record-suspects' as const,
      time: Date.now() + this.count * APART_MS,
      crashes: [end(`${request}-1`), end(`${request}-2`)],
      released: [],
      cleared: [],
    };
    runtime.propose(told).then(
      () => {
        if (isAnswered()) {
          this.convicted.push(request);
        }
      },
      () => undefined,
    );
  }

  /** A request that a process should know as convicted, and does not. */
  findLost({state}: RaftRuntime): string | undefined {
    return this.convicted.find(
      request => state.suspects.find(request)?.standing !== 'convicted',
    );
  }
}
