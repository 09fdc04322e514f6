/** Verdicts on requests that were acknowledged on a simulated day, which nobody who answers may have lost. */
import {RaftRuntime} from '../../src/control/raft_runtime';
import {EvacuationLedger} from './evacuation_ledger';
import {QuorumDay} from './quorum_day';

export class VerdictLedger {
  private readonly convicted: string[] = [];
  private count = 0;

  private constructor(readonly evacuations: EvacuationLedger | undefined) {}

  static create({seed, evacuates}: QuorumDay): VerdictLedger {
    return new VerdictLedger(
      evacuates ? EvacuationLedger.create(seed) : undefined,
    );
  }

  /**
   * Three backend servers end under a request of a caller of its own.
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
      time: Date.now(),
      crashes: ['1', '2', '3'].map(at => end(`${request}-${at}`)),
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
