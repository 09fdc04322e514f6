/** Encodes rules by themselves: what goes to many gateways is made once. */
import {Encoder} from 'cbor-x';
import {GatewayRules} from './gateway_rules';
import {ProtocolError} from './protocol_error';

const encoder = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
});

/** Turns rules into bytes and back. */
export const rulesCodec = {
  encode(rules: GatewayRules): Uint8Array {
    return encoder.encode(rules);
  },

  /**
   * Decodes and checks rules.
   *
   * @throws ProtocolError when the bytes hold none
   */
  decode(bytes: Uint8Array): GatewayRules {
    const parsed = GatewayRules.safeParse(encoder.decode(bytes));
    if (!parsed.success) {
      throw new ProtocolError(parsed.error, 'the answer holds no rules');
    }
    return parsed.data;
  },
};
