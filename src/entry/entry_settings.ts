import {TlsCredentials} from '../transport/tls_credentials';

/** Everything that an entry process is told when it starts. */
export interface EntrySettings {
  readonly entryId: string;
  readonly zone: string;
  /** Where callers connect. */
  readonly host: string;
  readonly port: number;
  readonly control: readonly string[];
  /** From the signal to stop to the end by force, in milliseconds. */
  readonly stopWithinMs: number;
  readonly security?: TlsCredentials;
}
