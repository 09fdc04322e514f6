import {Bundle} from '../protocol/bundle';
import {FleetStatus} from '../protocol/fleet_status';
import {JournalEntry} from '../state/journal_entry';
import {Suspect} from '../state/suspect';
import {QuorumView} from './quorum_view';

/** A result of a `whinreel` command; reporters print it as text or as JSON. */
export type OperatorResult =
  | {
      readonly type: 'key-created';
      readonly keyId: string;
      readonly files: readonly string[];
    }
  | {
      readonly type: 'bundle-checked';
      readonly bundle: Bundle;
      readonly digest: string;
    }
  | {
      readonly type: 'bundle-signed';
      readonly file: string;
      readonly version: number;
      readonly digest: string;
      readonly keyId: string;
    }
  | {
      readonly type: 'bundle-compared';
      readonly changes: ReadonlyArray<{
        path: string;
        before: string;
        after: string;
      }>;
    }
  | {
      readonly type: 'rolled-out';
      readonly isAccepted: boolean;
      readonly reason: string;
      readonly version: number;
      readonly digest: string;
      readonly keyId: string;
    }
  | {
      readonly type: 'in-force';
      readonly version: number;
      /** Number of hosts and entries that reported this version, of all that report. */
      readonly inForce: number;
      readonly of: number;
    }
  | {
      readonly type: 'log-explained';
      readonly lines: ReadonlyArray<{
        time: string;
        program: string;
        event: string;
        id: string;
        reason: string;
      }>;
    }
  | {readonly type: 'status'; readonly status: FleetStatus}
  | {readonly type: 'quorum'; readonly processes: readonly QuorumView[]}
  | {readonly type: 'journal'; readonly entries: readonly JournalEntry[]}
  | {
      readonly type: 'suspects';
      readonly suspects: ReadonlyArray<Suspect & {readonly name: string}>;
    }
  | {
      readonly type: 'verdict-lifted';
      readonly name: string;
      readonly isAccepted: boolean;
      readonly reason: string;
    }
  | {
      readonly type: 'evacuation-ordered';
      readonly zone: string;
      readonly isEvacuated: boolean;
      readonly isAccepted: boolean;
      readonly reason: string;
    }
  | {
      readonly type: 'drain-ordered';
      readonly hostId: string;
      readonly isDraining: boolean;
      readonly isAccepted: boolean;
      readonly reason: string;
    };
