/** Encodes messages as CBOR, and validates decoded ones against their schemas. */
import {Encoder} from 'cbor-x';
import {Message} from './message';
import {ProtocolError} from './protocol_error';

const encoder = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
});

/** Codec for messages between processes. */
export const messageCodec = {
  /** Encodes one message. */
  encode(message: Message): Uint8Array {
    return encoder.encode(message);
  },

  /**
   * Decodes and validates one message.
   *
   * @throws ProtocolError for invalid CBOR or an unknown message
   */
  decode(bytes: Uint8Array): Message {
    let value: unknown;
    try {
      value = encoder.decode(bytes);
    } catch (error) {
      throw new ProtocolError(error as Error, 'the frame holds no CBOR');
    }
    const parsed = Message.safeParse(value);
    if (!parsed.success) {
      throw new ProtocolError(parsed.error, 'the frame holds no known message');
    }
    return parsed.data;
  },
};
