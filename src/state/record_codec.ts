/**
 * Records on disk: a header of length, payload checksum and header checksum,
 * then the payload. The header has a checksum of its own, so that a damaged
 * length is told apart from a record that was cut short.
 */
import {crc32} from 'node:zlib';
import {StateError} from './state_error';

const HEADER_BYTES = 12;

/** What a scan of a file found. */
interface ScanResult {
  readonly payloads: Buffer[];
  /** Bytes up to the end of the last whole record. */
  readonly wholeBytes: number;
}

/** Encodes and scans records. */
export const recordCodec = {
  /** Wraps one payload. */
  encode(payload: Uint8Array): Buffer {
    const record = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
    record.writeUInt32BE(payload.length, 0);
    record.writeUInt32BE(crc32(payload), 4);
    record.writeUInt32BE(crc32(record.subarray(0, 8)), 8);
    record.set(payload, HEADER_BYTES);
    return record;
  },

  /**
   * Reads every whole record. Bytes that end before their record does were
   * never acknowledged and are left out; anything else that is wrong is refused.
   *
   * @param name the file's name, for the error
   * @throws StateError when a whole record is damaged
   */
  decode(bytes: Buffer, name: string): ScanResult {
    const payloads: Buffer[] = [];
    let offset = 0;
    while (bytes.length - offset >= HEADER_BYTES) {
      const length = bytes.readUInt32BE(offset);
      const headerSum = crc32(bytes.subarray(offset, offset + 8));
      if (headerSum !== bytes.readUInt32BE(offset + 8)) {
        throw createDamageError(name, offset);
      }
      const end = offset + HEADER_BYTES + length;
      if (end > bytes.length) {
        break;
      }
      const payload = bytes.subarray(offset + HEADER_BYTES, end);
      if (crc32(payload) !== bytes.readUInt32BE(offset + 4)) {
        throw createDamageError(name, offset);
      }
      payloads.push(payload);
      offset = end;
    }
    return {payloads, wholeBytes: offset};
  },
};

function createDamageError(name: string, offset: number): StateError {
  return new StateError(
    '%s is damaged at byte %d: the record does not fit its checksum. Nothing was changed. ' +
      'Move the data folder away and start again: this process is then admitted as a new voter.',
    name,
    offset,
  );
}
