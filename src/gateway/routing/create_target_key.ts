import {GatewayTarget} from '../../protocol/gateway_target';

/**
 * Creates a key for a target in its current group: as the head of a new group,
 * the same engine counts as another target than before.
 *
 * @example
 * tried.add(createTargetKey(target));
 */
export function createTargetKey({incarnation, epoch}: GatewayTarget): string {
  return epoch === undefined ? incarnation : `${incarnation} ${epoch}`;
}
