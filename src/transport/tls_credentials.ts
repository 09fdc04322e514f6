/** Keys for mutual TLS between processes, in PEM text. */
export interface TlsCredentials {
  /** Certificate of the authority that signs every process's certificate. */
  readonly authority: string;
  readonly certificate: string;
  readonly key: string;
}
