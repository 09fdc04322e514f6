/**
 * The format of records on disk: a header with the payload's length, the payload's
 * CRC-32 and the header's CRC-32, then the payload. The header's own checksum
 * distinguishes a corrupted length from a record that was written incompletely.
 */
import {crc32} from 'node:zlib';
import {StateError} from './state_error';

const HEADER_BYTES = 12;

/** The records of a file. */
interface DecodeResult {
  readonly payloads: Buffer[];
  /** Offset of the end of the last complete record. */
  readonly wholeBytes: number;
}

/** Encodes payloads as records, and decodes the records of a file. */
export const recordCodec = {
  /** Encodes one payload as a record. */
  encode(payload: Uint8Array): Buffer {
    const record = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
    record.writeUInt32BE(payload.length, 0);
    record.writeUInt32BE(crc32(payload), 4);
    record.writeUInt32BE(crc32(record.subarray(0, 8)), 8);
    record.set(payload, HEADER_BYTES);
    return record;
  },

  /**
   * Decodes all complete records. An incomplete last record was never acknowledged
   * and is ignored; any other inconsistency is an error.
   *
   * @param name the file's name, for the error message
   * @throws StateError if a checksum doesn't match
   */
  decode(bytes: Buffer, name: string): DecodeResult {
    const payloads: Buffer[] = [];
    let offset = 0;
    while (bytes.length - offset >= HEADER_BYTES) {
      const length = bytes.readUInt32BE(offset);
      const headerChecksum = crc32(bytes.subarray(offset, offset + 8));
      if (headerChecksum !== bytes.readUInt32BE(offset + 8)) {
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
    '%s is damaged at byte %d: the checksum of the record does not match. The file was not modified. ' +
      'Move the data folder away and restart: this process then joins as a new voter.',
    name,
    offset,
  );
}
