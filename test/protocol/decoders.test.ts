import fc from 'fast-check';
import {Encoder} from 'cbor-x';
import {describe, expect, test} from 'vitest';
import {messageCodec} from '../../src/protocol/message_codec';
import {ProtocolError} from '../../src/protocol/protocol_error';
import {BackendEventStream} from '../../src/host/backend_event_stream';
import {BackendAnnouncement} from '../../src/protocol/backend_announcement';
import {SignedBundle} from '../../src/protocol/signed_bundle';
import {FrameSplitter} from '../../src/transport/frame_splitter';

const SEED = 20_261_202;

function decodeOrReject(bytes: Uint8Array): void {
  try {
    messageCodec.decode(bytes);
  } catch (error) {
    expect(error).toBeInstanceOf(ProtocolError);
  }
}

describe('decoders of untrusted input', () => {
  test('random bytes are rejected with a ProtocolError', () => {
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 400}), bytes =>
        decodeOrReject(bytes),
      ),
      {numRuns: 3_000, seed: SEED},
    );
  });

  test('CBOR that is no message is rejected', () => {
    const encoder = new Encoder({useRecords: false});
    fc.assert(
      fc.property(fc.object({maxDepth: 4}), value =>
        decodeOrReject(encoder.encode(value)),
      ),
      {numRuns: 1_000, seed: SEED},
    );
  });

  test('a message with one changed byte is decoded or rejected with a ProtocolError', () => {
    const message = {
      type: 'data',
      stream: 3,
      sequence: 9,
      bytes: Buffer.from('token'),
    } as const;
    const encoded = Buffer.from(messageCodec.encode(message));
    fc.assert(
      fc.property(fc.nat(encoded.length - 1), fc.nat(255), (at, value) => {
        const changed = Buffer.from(encoded);
        changed[at] = value;
        decodeOrReject(changed);
      }),
      {numRuns: 2_000, seed: SEED},
    );
  });

  test('deep nesting is rejected with a ProtocolError', () => {
    const depth = 200_000;
    const nested = Buffer.concat([Buffer.alloc(depth, 0x81), Buffer.from([0])]);

    expect(() => messageCodec.decode(nested)).toThrow(ProtocolError);
  });

  test('a short frame that declares a huge array is rejected', () => {
    const frame = Buffer.from([0x9a, 0xff, 0xff, 0xff, 0xff]);

    expect(() => messageCodec.decode(frame)).toThrow(ProtocolError);
  });

  test('frames are complete for any chunk boundaries', () => {
    fc.assert(
      fc.property(
        fc.array(fc.uint8Array({maxLength: 50}), {maxLength: 10}),
        fc.array(fc.integer({min: 1, max: 20}), {minLength: 1}),
        (payloads, sizes) => {
          const bytes = Buffer.concat(
            payloads.flatMap(payload => {
              const header = Buffer.alloc(4);
              header.writeUInt32BE(payload.length);
              return [header, payload];
            }),
          );
          const splitter = FrameSplitter.create(1_000);
          const frames: Buffer[] = [];
          for (let at = 0, turn = 0; at < bytes.length; turn += 1) {
            const size = sizes[turn % sizes.length];
            frames.push(...splitter.split(bytes.subarray(at, at + size)));
            at += size;
          }
          expect(frames.map(frame => [...frame])).toEqual(
            payloads.map(payload => [...payload]),
          );
        },
      ),
      {numRuns: 500, seed: SEED},
    );
  });

  test('events are complete for any chunk boundaries, and the end marker counts only as the last event', () => {
    const text = 'data: {"a":"data: [DONE]"}\n\ndata: b\n\ndata: [DONE]\n\n';
    fc.assert(
      fc.property(fc.integer({min: 1, max: 30}), size => {
        const splitter = BackendEventStream.create(false);
        let joined = '';
        for (let at = 0; at < text.length; at += size) {
          expect(splitter.isComplete).toBe(false);
          const piece = splitter
            .split(Buffer.from(text.slice(at, at + size)))
            .toString();
          expect(piece === '' || piece.endsWith('\n\n')).toBe(true);
          joined += piece;
        }
        expect(joined).toBe(text);
        expect(splitter.isComplete).toBe(true);
      }),
      {seed: SEED},
    );
  });

  test('arbitrary values are no valid announcement or signed bundle', () => {
    fc.assert(
      fc.property(fc.anything(), value => {
        expect(SignedBundle.safeParse(value).success).toBe(false);
        expect(BackendAnnouncement.safeParse(value).success).toBe(false);
      }),
      {numRuns: 1_000, seed: SEED},
    );
  });
});
