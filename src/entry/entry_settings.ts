import {ServerAddress} from '../common/server_address';
import {TlsCredentials} from '../transport/tls_credentials';

/** Configuration of an entry process. */
export interface EntrySettings {
  readonly entryId: string;
  readonly zone: string;
  /** Address to listen on for callers. */
  readonly host: string;
  readonly port: number;
  readonly control: readonly ServerAddress[];
  /** Milliseconds from the stop signal to the forced exit. */
  readonly stopWithinMs: number;
  readonly security?: TlsCredentials;
}
