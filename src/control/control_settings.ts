import {KeyObject} from 'node:crypto';
import {TransportSecurity} from '../transport/transport_security';

/** Everything that a control process is told when it starts. */
export interface ControlSettings {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly dataFolder: string;
  /** Address of each other control process, by name. */
  readonly peers: ReadonlyMap<string, string>;
  readonly trustedKeys: readonly KeyObject[];
  /** Milliseconds for which a confirmed bundle may be worked under. */
  readonly leaseMs: number;
  readonly security?: TransportSecurity;
  /** Entries behind the snapshot after which a new one is taken. */
  readonly snapshotEvery?: number;
}
