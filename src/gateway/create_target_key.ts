import {GatewayTarget} from '../protocol/gateway_target';

/**
 * Names a target as it stands now: the head of a new group is another one than
 * the same engine was in its group before.
 *
 * @example
 * tried.add(createTargetKey(target));
 */
export function createTargetKey({incarnation, epoch}: GatewayTarget): string {
  return epoch === undefined ? incarnation : `${incarnation} ${epoch}`;
}
