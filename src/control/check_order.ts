import {KeyObject, verify} from 'node:crypto';
import {computeKeyId} from '../protocol/compute_key_id';
import {ControlError} from './control_error';

/** A signed order of an operator is refused when it is older, so that it can't be replayed later. */
const MAX_ORDER_AGE_MS = 60_000;

/** The signature of an order. */
interface SignedOrder {
  readonly keyId: string;
  /** Wall-clock milliseconds on the operator's machine. */
  readonly time: number;
  readonly signature: string;
}

/**
 * Checks who signed an order of an operator, and when.
 *
 * @param text the signed text
 * @throws ControlError when the order is outdated, or isn't signed by a trusted key
 * @example
 * checkOrder(request, encodeLiftOrder(request.name, request.time), trustedKeys);
 */
export function checkOrder(
  order: SignedOrder,
  text: string,
  trustedKeys: readonly KeyObject[],
): void {
  const key = trustedKeys.find(
    candidate => computeKeyId(candidate) === order.keyId,
  );
  if (!key) {
    throw new ControlError(
      'the order is signed by %s, which is not trusted here',
      order.keyId,
    );
  }
  const signature = Buffer.from(order.signature, 'base64');
  if (!verify(null, Buffer.from(text), key, signature)) {
    throw new ControlError('the signature does not fit the order');
  }
  if (Math.abs(Date.now() - order.time) > MAX_ORDER_AGE_MS) {
    throw new ControlError('the order is older than a minute; send it again');
  }
}
