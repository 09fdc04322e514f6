/** The fields of a server-sent event that decide where its stream can be resumed. */
import {isLineEnd} from './is_line_end';

const COLON = 58;
const SPACE = 32;
const NUL = 0;
const ID = Buffer.from('id');
const DATA = Buffer.from('data');

/** What one event says of its position. */
interface EventFields {
  /**
   * The last id of the event, one character for each byte, as a header carries it.
   * An empty one resets the id of the stream; undefined leaves it as it is.
   */
  readonly id: string | undefined;
  /** False for comments and the like, which carry nothing of a run. */
  readonly hasData: boolean;
}

/**
 * Reads the fields of one event, whose lines may end with LF, CR LF and CR.
 *
 * @param start where the first line begins
 * @example
 * const {id} = readEventFields(Buffer.from('id: 7\r\ndata: x\r\n\r\n'), 0);
 */
export function readEventFields(bytes: Buffer, start: number): EventFields {
  let idLine: readonly [start: number, end: number] | undefined;
  let hasData = false;
  let at = start;
  while (at < bytes.length) {
    const end = findLineEnd(bytes, at);
    hasData ||= isField(DATA, bytes, at, end);
    if (isField(ID, bytes, at, end) && !hasNul(bytes, at, end)) {
      idLine = [at, end];
    }
    // The LF of a CR LF is read as an empty line, which has no field.
    at = end + 1;
  }
  return {id: idLine && readId(bytes, ...idLine), hasData};
}

/** Reads the value behind the name, the colon and one space; the name alone has an empty one. */
function readId(bytes: Buffer, start: number, end: number): string {
  const colonEnd = start + ID.length + 1;
  const valueStart = bytes[colonEnd] === SPACE ? colonEnd + 1 : colonEnd;
  return bytes.toString('latin1', Math.min(valueStart, end), end);
}

/** The format ignores an id with a NUL. */
function hasNul(bytes: Buffer, start: number, end: number): boolean {
  for (let at = start; at < end; at += 1) {
    if (bytes[at] === NUL) {
      return true;
    }
  }
  return false;
}

function findLineEnd(bytes: Buffer, start: number): number {
  let at = start;
  while (at < bytes.length && !isLineEnd(bytes[at])) {
    at += 1;
  }
  return at;
}

/** True if the line has this name, with or without a colon and a value. */
function isField(
  name: Buffer,
  bytes: Buffer,
  start: number,
  end: number,
): boolean {
  const nameEnd = start + name.length;
  return (
    nameEnd <= end &&
    (nameEnd === end || bytes[nameEnd] === COLON) &&
    name.every((byte, at) => bytes[start + at] === byte)
  );
}
