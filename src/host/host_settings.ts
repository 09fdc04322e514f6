import {TlsCredentials} from '../transport/tls_credentials';

/** Everything that a host process is told when it starts. */
export interface HostSettings {
  readonly hostId: string;
  readonly zone: string;
  /** Fabric domain that this host belongs to. */
  readonly domain: string;
  /** Where entries and other members connect. */
  readonly host: string;
  readonly port: number;
  /** Address that others are told, when it is not where this process listens. */
  readonly advertise?: string;
  /** Where the backend server announces itself. */
  readonly announceHost: string;
  readonly announcePort: number;
  readonly control: readonly string[];
  /** From the signal to stop to the end by force, in milliseconds. */
  readonly stopWithinMs: number;
  readonly security?: TlsCredentials;
}
