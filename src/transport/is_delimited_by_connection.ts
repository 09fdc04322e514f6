const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Tells from the head of a response whether its body ends with the connection: it has
 * neither a length nor chunks.
 *
 * @param method the method of the request
 * @example
 * isDelimitedByConnection('GET', 200, {'content-type': 'text/plain'}); // true
 */
export function isDelimitedByConnection(
  method: string,
  status: number,
  headers: Readonly<Record<string, unknown>>,
): boolean {
  const hasBody =
    method !== 'HEAD' && status !== NO_CONTENT && status !== NOT_MODIFIED;
  const isFramed =
    'content-length' in headers || 'transfer-encoding' in headers;
  return hasBody && !isFramed;
}
