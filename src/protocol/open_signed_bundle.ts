import {KeyObject, verify} from 'node:crypto';
import {Bundle} from './bundle';
import {computeKeyId} from './compute_key_id';
import {ProtocolError} from './protocol_error';
import {SignedBundle} from './signed_bundle';

/**
 * Verifies the signature of a bundle and parses its document.
 *
 * @param trustedKeys public keys of the operators
 * @throws ProtocolError for an unknown key, an invalid signature or an invalid document
 * @example
 * const bundle = openSignedBundle(signed, [publicKey]);
 */
export function openSignedBundle(
  signed: SignedBundle,
  trustedKeys: readonly KeyObject[],
): Bundle {
  const key = trustedKeys.find(
    candidate => computeKeyId(candidate) === signed.keyId,
  );
  if (!key) {
    throw new ProtocolError(
      'the bundle is signed by %s, which is not trusted here',
      signed.keyId,
    );
  }
  const signature = Buffer.from(signed.signature, 'base64');
  if (!verify(null, Buffer.from(signed.document), key, signature)) {
    throw new ProtocolError(
      'the signature does not fit the bundle: it was changed after signing',
    );
  }
  try {
    return Bundle.parse(JSON.parse(signed.document));
  } catch (error) {
    throw new ProtocolError(error as Error, 'the signed bundle is malformed');
  }
}
