import {KeyObject, sign} from 'node:crypto';
import {Bundle} from './bundle';
import {computeKeyId} from './compute_key_id';
import {encodeCanonicalJson} from './encode_canonical_json';
import {SignedBundle} from './signed_bundle';

/**
 * Signs a validated bundle with an operator's private Ed25519 key.
 *
 * @example
 * const signed = signBundle(Bundle.parse(document), createPrivateKey(pem));
 */
export function signBundle(
  bundle: Bundle,
  privateKey: KeyObject,
): SignedBundle {
  const document = encodeCanonicalJson(bundle);
  const signature = sign(null, Buffer.from(document), privateKey).toString(
    'base64',
  );
  return {document, keyId: computeKeyId(privateKey), signature};
}
