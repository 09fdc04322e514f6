import {KeyObject} from 'node:crypto';
import {ServerAddress} from '../common/server_address';
import {EngineClient} from '../protocol/engine_client';
import {TlsCredentials} from '../transport/tls_credentials';

/**
 * Bootstrap of a quorum from seed processes; processes are named by their address. The
 * values may change while the process runs, so each use reads them again.
 */
interface SeededQuorum {
  /** Names of the initial voters; once the quorum exists, only used for discovery. */
  readonly seeds: readonly string[];
  /** True if the whole system starts for the first time, so that a new quorum may be formed. */
  readonly isFirstStart: boolean;
  /** Target number of voters; while it is undefined, the quorum keeps its size. */
  readonly voters: number | undefined;
  /**
   * Guaranteed copies needed to acknowledge a change: the tolerated number of failures plus
   * one. While it is undefined, no change is acknowledged.
   */
  readonly minCopies: number | undefined;
}

/** What the leader needs to manage the backend servers of the pools. */
interface PoolSettings {
  /** Interval between the registrations of a backend server, in milliseconds. */
  readonly heartbeatMs: number;
  /** Time for which a group that lost a member stalls until its head reports it as broken, in milliseconds. */
  readonly stallMs: number;
  /** Client for orders to engines; without it engines get neither orders nor probes. */
  readonly orders?: EngineClient;
}

/** Retries of a pool that all gateways share beyond those that their requests permit. */
interface RetrySlack {
  readonly windowMs: number;
  /** Retries in each window. */
  readonly slack: number;
}

/** Settings of a control process. */
export interface ControlSettings {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly dataFolder: string;
  /** Availability zone of this process; a new voter preferably replaces one of its own zone. */
  readonly zone?: string;
  /**
   * Start of this process on its monotonic clock, if no other process has used the data
   * folder since; the time of creation by default.
   */
  readonly startedAt?: number;
  /** Whether to lock the data folder; false if the platform guarantees exclusive access. Default: true. */
  readonly locksFolder?: boolean;
  /** Address of each other control process, by name. */
  readonly peers: ReadonlyMap<string, ServerAddress>;
  readonly trustedKeys: readonly KeyObject[];
  /** Time for which hosts and entry processes may use a bundle after it was confirmed, in milliseconds. */
  readonly leaseMs: number;
  /** Replaces `peers`: the quorum is discovered through seeds. */
  readonly seeded?: SeededQuorum;
  /** Channels whose bundles are accepted without a signature; none by default. */
  readonly trustedChannels?: readonly string[];
  /** Lists all availability zones of the deployment; undefined where they are not configured. */
  readonly listZones?: () => readonly string[] | undefined;
  readonly pools?: PoolSettings;
  /** The part of each pool's retry budget that is lent to gateways; without it, they retry only by their own requests. */
  readonly retries?: RetrySlack;
  readonly security?: TlsCredentials;
  /** Number of log entries after a snapshot that triggers the next one. */
  readonly snapshotEvery?: number;
}
