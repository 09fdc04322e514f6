import {encodeCanonicalJson} from './encode_canonical_json';

/**
 * Encodes the text that an operator signs to drain a host or to undo the drain.
 *
 * @param time wall-clock milliseconds; control rejects old orders
 * @example
 * sign(null, Buffer.from(encodeDrainOrder('h1', true, Date.now())), privateKey);
 */
export function encodeDrainOrder(
  hostId: string,
  isDraining: boolean,
  time: number,
): string {
  return encodeCanonicalJson({order: 'drain', hostId, isDraining, time});
}
