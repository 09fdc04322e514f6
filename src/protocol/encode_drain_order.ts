import {encodeCanonicalJson} from './encode_canonical_json';

/**
 * The text that an operator signs to drain a host or to take it back.
 *
 * @param time wall-clock milliseconds; control refuses an order that is old
 * @example
 * sign(null, Buffer.from(describeDrainOrder('h1', true, Date.now())), privateKey);
 */
export function encodeDrainOrder(
  hostId: string,
  isDraining: boolean,
  time: number,
): string {
  return encodeCanonicalJson({order: 'drain', hostId, isDraining, time});
}
