import {encodeCanonicalJson} from './encode_canonical_json';

/**
 * Encodes the text that an operator signs to let a convicted request run again.
 *
 * @param time wall-clock milliseconds; control rejects old orders
 * @example
 * sign(null, Buffer.from(encodeLiftOrder(name, Date.now())), privateKey);
 */
export function encodeLiftOrder(name: string, time: number): string {
  return encodeCanonicalJson({order: 'lift', name, time});
}
