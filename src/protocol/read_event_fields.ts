/** The fields of a server-sent event that decide where its stream can be resumed. */
import {isLineEnd} from './is_line_end';

const COLON = 58;
const ID = Buffer.from('id');
const DATA = Buffer.from('data');
const ID_LINE = /^id:[ ]?(\S+)/;

/** What one event says of its position. */
interface EventFields {
  /** The id, one character for each byte, as a header carries it. */
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
  let id: string | undefined;
  let hasData = false;
  let at = start;
  while (at < bytes.length) {
    const end = findLineEnd(bytes, at);
    hasData ||= isField(DATA, bytes, at, end);
    if (id === undefined && isField(ID, bytes, at, end)) {
      id = ID_LINE.exec(bytes.toString('latin1', at, end))?.[1];
    }
    // The LF of a CR LF is read as an empty line, which has no field.
    at = end + 1;
  }
  return {id, hasData};
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
