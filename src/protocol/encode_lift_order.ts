import {encodeCanonicalJson} from './encode_canonical_json';

/**
 * The text that an operator signs to let a convicted request run again.
 *
 * @param time wall-clock milliseconds; control refuses an order that is old
 * @example
 * sign(null, Buffer.from(describeLiftOrder(name, Date.now())), privateKey);
 */
export function encodeLiftOrder(name: string, time: number): string {
  return encodeCanonicalJson({order: 'lift', name, time});
}
