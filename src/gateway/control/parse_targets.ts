import {ServerAddress} from '../../common/server_address';
import {GatewayTarget} from '../../protocol/gateway_target';
import {GatewayTargetMessage} from '../../protocol/gateway_target_message';
import {ProtocolError} from '../../protocol/protocol_error';

/** A target whose address or id is malformed. */
interface MalformedTarget {
  readonly target: GatewayTargetMessage;
  /** What is wrong with it. */
  readonly reason: string;
}

/** Targets that can be sent requests, and those that cannot. */
interface ParsedTargets {
  readonly targets: readonly GatewayTarget[];
  readonly malformed: readonly MalformedTarget[];
}

/** Requests name their server in a header. */
const HEADER_TEXT = /^[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?$/;

/**
 * Parses the addresses of targets, and checks their ids. Malformed ones come from a leader of another version
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
      if (!HEADER_TEXT.test(target.incarnation)) {
        throw new ProtocolError('its id fits into no header');
      }
      const address = ServerAddress.parse(target.address);
      targets.push({...target, address});
    } catch (error) {
      malformed.push({target, reason: (error as Error).message});
    }
  }
  return {targets, malformed};
}
