/** Encodes messages as CBOR, and validates decoded ones against their schemas. */
import {Encoder} from 'cbor-x';
import {z} from 'zod';
import {InvalidCallError} from './invalid_call_error';
import {Message} from './message';
import {ProtocolError} from './protocol_error';

const encoder = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
});

/** What a call and its answer have in common. */
const AnyCall = z.object({type: z.string(), call: z.int().nonnegative()});
/** A reason quotes no more of a message, which may be as long as its sender likes. */
const MAX_REASON_LENGTH = 200;

/** Codec for messages between processes. */
export const messageCodec = {
  /** Encodes one message. */
  encode(message: Message): Uint8Array {
    return encoder.encode(message);
  },

  /**
   * Decodes and validates one message.
   *
   * @throws InvalidCallError for a call or an answer that does not match its schema
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
      rejectCall(value, parsed.error);
      throw new ProtocolError(parsed.error, 'the frame holds no known message');
    }
    return parsed.data;
  },
};

/** @throws InvalidCallError if the value has the number of a call */
function rejectCall(value: unknown, error: z.ZodError): void {
  const call = AnyCall.safeParse(value);
  if (call.success) {
    const [{path, message}] = error.issues;
    const reason = `${call.data.type}: ${path.join('.')}: ${message}`;
    throw new InvalidCallError(
      call.data.call,
      reason.slice(0, MAX_REASON_LENGTH),
    );
  }
}
