/** What the head of a response states about the end of its body. */
interface ResponseHead {
  /** Method of the request. */
  readonly method: string;
  readonly status: number;
  /** The minor version of HTTP/1. */
  readonly minorVersion: number;
  /** Values of all `content-length` fields, with the blanks around them. */
  readonly lengths: readonly string[];
  /** Values of all `transfer-encoding` fields, with the blanks around them. */
  readonly codings: readonly string[];
}

type BodyFraming =
  | {readonly kind: 'length'; readonly bytes: number}
  | {readonly kind: 'chunks'}
  | {readonly kind: 'connection'}
  | {readonly kind: 'invalid'; readonly reason: string};

/** Fifteen digits are exact as a number. */
const LENGTH = /^[ \t]*[0-9]{1,15}[ \t]*$/;
const CHUNKED = /^[ \t]*chunked[ \t]*$/i;
const FINAL_STATUS = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Finds out where the body of a response ends (RFC 9112, section 6.3). Whatever leaves
 * room for two answers is invalid, also where HTTP lets a client choose one.
 *
 * @example
 * const framing = findBodyFraming({method: 'GET', status: 200, minorVersion: 1, lengths: ['5'], codings: []});
 */
export function findBodyFraming(head: ResponseHead): BodyFraming {
  const reason = findContradiction(head);
  if (reason) {
    return {kind: 'invalid', reason};
  }
  const {method, status, lengths, codings} = head;
  if (method === 'HEAD' || isBodyless(status) || status === NOT_MODIFIED) {
    return {kind: 'length', bytes: 0};
  }
  if (codings.length > 0) {
    return {kind: 'chunks'};
  }
  return lengths.length > 0
    ? {kind: 'length', bytes: Number(lengths[0])}
    : {kind: 'connection'};
}

function findContradiction({
  status,
  minorVersion,
  lengths,
  codings,
}: ResponseHead): string | undefined {
  const stated = lengths.length + codings.length;
  if (stated > 1) {
    return 'it states more than once where its body ends';
  }
  if (lengths.some(length => !LENGTH.test(length))) {
    return 'its content-length is no number of bytes';
  }
  if (codings.some(coding => !CHUNKED.test(coding))) {
    return 'its transfer-encoding is not chunked';
  }
  if (codings.length > 0 && minorVersion === 0) {
    return 'HTTP/1.0 has no transfer-encoding';
  }
  const announcesBody = codings.length > 0 || Number(lengths[0] ?? 0) > 0;
  return isBodyless(status) && announcesBody
    ? `a response with status ${status} has no body`
    : undefined;
}

function isBodyless(status: number): boolean {
  return status < FINAL_STATUS || status === NO_CONTENT;
}
