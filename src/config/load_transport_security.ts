import {readFileSync} from 'node:fs';
import {z} from 'zod';
import {TlsCredentials} from '../transport/tls_credentials';
import {commonSettings} from './common_settings';
import {UsageError} from './usage_error';

/**
 * Reads the TLS files. Without them, returns `undefined` for plain TCP, which must
 * be allowed explicitly when the process listens beyond loopback.
 *
 * @param listenHost the address that other processes connect to
 * @throws UsageError when only some of the TLS files are given, when one cannot be
 *     read, or when plain TCP is not allowed
 * @example
 * const security = loadTransportSecurity(settings, '127.0.0.1');
 */
export function loadTransportSecurity(
  settings: z.infer<typeof commonSettings>,
  listenHost: string,
): TlsCredentials | undefined {
  const {tlsAuthority, tlsCertificate, tlsKey, allowPlainTcp} = settings;
  const givenFiles = [tlsAuthority, tlsCertificate, tlsKey].filter(
    file => file !== undefined,
  );
  if (tlsAuthority && tlsCertificate && tlsKey) {
    return {
      authority: readPem('--tls-authority', tlsAuthority),
      certificate: readPem('--tls-certificate', tlsCertificate),
      key: readPem('--tls-key', tlsKey),
    };
  }
  if (givenFiles.length > 0) {
    throw new UsageError(
      '--tls-authority, --tls-certificate and --tls-key go together',
    );
  }
  const isLoopback = /^(127\.|::1$|localhost$)/.test(listenHost);
  if (!isLoopback && allowPlainTcp !== 'true') {
    throw new UsageError(
      '%s is not a loopback address: give --tls-authority, --tls-certificate and --tls-key, ' +
        'or --allow-plain-tcp true',
      listenHost,
    );
  }
  return undefined;
}

function readPem(flag: string, file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new UsageError(
      '%s: cannot read %s: %s',
      flag,
      file,
      (error as Error).message,
    );
  }
}
