import {KeyObject} from 'node:crypto';
import {EngineClient} from '../protocol/engine_client';
import {TlsCredentials} from '../transport/tls_credentials';

/** A quorum that grows from a few first members; processes are named by their address. */
interface SeededQuorum {
  /** Names of the first members; later only places to ask. */
  readonly seeds: readonly string[];
  /** True when the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  /** Voters that the quorum should have. */
  readonly voters: number;
  /** Copies without which nothing is acknowledged: losses to survive, and one. */
  readonly minCopies: number;
}

/** How the platform runs the leader's duties beyond the agreement. */
interface PoolDuties {
  /** Between two registrations of one backend server, in milliseconds. */
  readonly heartbeatMs: number;
  /** How long a group that lost a member stalls before its head reports it broken, in milliseconds. */
  readonly stallMs: number;
  /** Absent where nobody gives orders to engines. */
  readonly orders?: EngineClient;
}

/** Everything that a control process is told when it starts. */
export interface ControlSettings {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly dataFolder: string;
  /** When this process began, on its monotonic clock, if nobody ran on the folder since; the creation by default. */
  readonly startedAt?: number;
  /** False where the platform keeps other processes out of the folder; true by default. */
  readonly locksFolder?: boolean;
  /** Address of each other control process, by name. */
  readonly peers: ReadonlyMap<string, string>;
  readonly trustedKeys: readonly KeyObject[];
  /** Milliseconds for which a confirmed bundle may be worked under. */
  readonly leaseMs: number;
  /** In place of `peers`: the quorum is found from seeds. */
  readonly seeded?: SeededQuorum;
  /** Channels over which bundles are accepted unsigned; none by default. */
  readonly trustedChannels?: readonly string[];
  readonly pools?: PoolDuties;
  readonly security?: TlsCredentials;
  /** Entries behind the snapshot after which a new one is taken. */
  readonly snapshotEvery?: number;
}
