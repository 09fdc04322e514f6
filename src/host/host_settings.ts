import {ServerAddress} from '../common/server_address';
import {TlsCredentials} from '../transport/tls_credentials';

/** Configuration of a host process. */
export interface HostSettings {
  readonly hostId: string;
  readonly zone: string;
  /** Fabric domain that this host belongs to. */
  readonly domain: string;
  /** Address to listen on for entries and other members. */
  readonly host: string;
  readonly port: number;
  /** Address that other processes connect to, if it differs from the listening address. */
  readonly advertise?: ServerAddress;
  /** Address to listen on for announcements of the backend server. */
  readonly announceHost: string;
  readonly announcePort: number;
  readonly control: readonly ServerAddress[];
  /** Milliseconds from the stop signal to the forced exit. */
  readonly stopWithinMs: number;
  readonly security?: TlsCredentials;
}
