import {encodeCanonical} from './encode_canonical';

/**
 * The text that an operator signs to let a convicted request run again.
 *
 * @param time wall-clock milliseconds; control refuses an order that is old
 * @example
 * sign(null, Buffer.from(describeLiftOrder(name, Date.now())), privateKey);
 */
export function describeLiftOrder(name: string, time: number): string {
  return encodeCanonical({order: 'lift', name, time});
}
