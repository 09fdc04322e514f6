/** Encodes gateway rules separately from messages, so that they are encoded once for many gateways. */
import {Encoder} from 'cbor-x';
import {GatewayRules} from './gateway_rules';
import {ProtocolError} from './protocol_error';

const encoder = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
});

/** Codec for gateway rules. */
export const rulesCodec = {
  encode(rules: GatewayRules): Uint8Array {
    return encoder.encode(rules);
  },

  /**
   * Decodes and validates rules.
   *
   * @throws ProtocolError when the bytes are no valid rules
   */
  decode(bytes: Uint8Array): GatewayRules {
    const parsed = GatewayRules.safeParse(encoder.decode(bytes));
    if (!parsed.success) {
      throw new ProtocolError(parsed.error, 'the answer holds no rules');
    }
    return parsed.data;
  },
};
