/** Encodes messages as CBOR and checks what comes in against their schemas. */
import {Encoder} from 'cbor-x';
import {Message} from './message';
import {ProtocolError} from './protocol_error';

const encoder = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
});

/** Turns messages into bytes and back. */
export const messageCodec = {
  /** Encodes one message. */
  encode(message: Message): Uint8Array {
    return encoder.encode(message);
  },

  /**
   * Decodes and checks one message.
   *
   * @throws ProtocolError when the bytes are no CBOR or no known message
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
