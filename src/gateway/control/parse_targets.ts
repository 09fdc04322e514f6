import {ServerAddress} from '../../common/server_address';
import {GatewayTarget} from '../../protocol/gateway_target';
import {GatewayTargetMessage} from '../../protocol/gateway_target_message';

/** A target whose address is malformed. */
interface MalformedTarget {
  readonly target: GatewayTargetMessage;
  /** What is wrong with its address. */
  readonly reason: string;
}

/** Targets that can be sent requests, and those that cannot. */
interface ParsedTargets {
  readonly targets: readonly GatewayTarget[];
  readonly malformed: readonly MalformedTarget[];
}

/**
 * Parses the addresses of targets. Malformed ones come from a leader of another version
 * or from its disk, and must not cost the others.
 *
 * @example
 * const {targets, malformed} = parseTargets(answer.targets);
 */
export function parseTargets(
  messages: readonly GatewayTargetMessage[],
): ParsedTargets {
  const targets: GatewayTarget[] = [];
  const malformed: MalformedTarget[] = [];
  for (const target of messages) {
    try {
      const address = ServerAddress.parse(target.address);
      targets.push({...target, address});
    } catch (error) {
      malformed.push({target, reason: (error as Error).message});
    }
  }
  return {targets, malformed};
}
