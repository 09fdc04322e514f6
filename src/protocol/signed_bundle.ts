import {z} from 'zod';

/** A bundle as canonical text with the operator's Ed25519 signature over it. */
export const SignedBundle = z.strictObject({
  /** Canonical JSON of the bundle. */
  document: z.string(),
  /** Fingerprint of the public key that signed. */
  keyId: z.string(),
  /** Base64. */
  signature: z.string(),
});
export type SignedBundle = z.infer<typeof SignedBundle>;
