import {encodeCanonicalJson} from './encode_canonical_json';

/**
 * Encodes the text that an operator signs to evacuate an availability zone or to restore it.
 *
 * @param time wall-clock milliseconds; control rejects old orders
 * @example
 * sign(null, Buffer.from(encodeEvacuationOrder('zone-a', true, Date.now())), privateKey);
 */
export function encodeEvacuationOrder(
  zone: string,
  isEvacuated: boolean,
  time: number,
): string {
  return encodeCanonicalJson({order: 'evacuate', zone, isEvacuated, time});
}
