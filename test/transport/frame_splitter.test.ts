/** Guards against frames that are cut wrongly, and against work that grows with the square of a frame's size. */
import {expect, test} from 'vitest';
import {FrameSplitter} from '../../src/transport/frame_splitter';
import {countBufferWork} from '../support/count_buffer_work';

const LENGTH_BYTES = 4;
const LARGE_FRAME_BYTES = 16 * 1024 * 1024;
const PIECE_BYTES = 1_024;

function createFrame(payload: Buffer): Buffer {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(payload.length);
  return Buffer.concat([length, payload]);
}

test.each([1, 2, 3, 5, 7, 64, 1_000])(
  'frames that arrive in pieces of %d bytes are put together unchanged',
  pieceBytes => {
    const payloads = [0, 1, 3, 4, 250, 0, 17, 600, 2, 90].map((size, index) =>
      Buffer.alloc(size, index + 1),
    );
    const bytes = Buffer.concat(payloads.map(createFrame));
    const splitter = FrameSplitter.create(1_000);
    const frames: Buffer[] = [];
    for (let offset = 0; offset < bytes.length; offset += pieceBytes) {
      // The frames are compared after all pieces, so an overwritten one is noticed.
      frames.push(
        ...splitter.split(bytes.subarray(offset, offset + pieceBytes)),
      );
    }
    expect(frames.map(frame => frame.toString('hex'))).toEqual(
      payloads.map(payload => payload.toString('hex')),
    );
  },
);

test('a length over the limit is rejected before the frame arrives', () => {
  const splitter = FrameSplitter.create(10);
  expect(splitter.split(Buffer.from([0, 0, 0]))).toEqual([]);
  expect(() => splitter.split(Buffer.from([11]))).toThrow(
    'a frame of 11 bytes is over the limit of 10 bytes',
  );
});

test('a large frame in small pieces takes work in proportion to its size', () => {
  const splitter = FrameSplitter.create(LARGE_FRAME_BYTES);
  const payload = Buffer.alloc(LARGE_FRAME_BYTES, 'x');
  const bytes = createFrame(payload);
  const frames: Buffer[] = [];
  const work = countBufferWork(() => {
    for (let offset = 0; offset < bytes.length; offset += PIECE_BYTES) {
      frames.push(
        ...splitter.split(bytes.subarray(offset, offset + PIECE_BYTES)),
      );
    }
  });
  expect(frames).toHaveLength(1);
  expect(frames[0].equals(payload)).toBe(true);
  // Each byte is copied in, and on average twice more while the buffer grows.
  expect(work).toBeLessThanOrEqual(3 * bytes.length);
});
