const CRLF_END = '\n\r\n';
const LF_END = '\n\n';

/**
 * Finds where the head of an HTTP message ends.
 *
 * @param previous up to two bytes that arrived just before
 * @returns the number of bytes up to the end, or -1 if the head goes on
 * @example
 * findHeadEnd(Buffer.from('\r\n'), Buffer.from('\r\nGET')); // 2
 */
export function findHeadEnd(previous: Buffer, bytes: Buffer): number {
  if (previous.length > 0) {
    const seam = Buffer.concat([previous, bytes.subarray(0, 2)]);
    const end = findEnd(seam);
    if (end > 0) {
      return end - previous.length;
    }
  }
  return findEnd(bytes);
}

function findEnd(bytes: Buffer): number {
  const crlf = bytes.indexOf(CRLF_END);
  const searched = crlf < 0 ? bytes : bytes.subarray(0, crlf + 1);
  const lf = searched.indexOf(LF_END);
  if (lf >= 0) {
    return lf + LF_END.length;
  }
  return crlf < 0 ? -1 : crlf + CRLF_END.length;
}
