/**
 * Encodes a value as JSON with sorted keys and no white space, so that equal
 * values have the same bytes and the same signature.
 *
 * @example
 * encodeCanonicalJson({b: 1, a: 2}); // '{"a":2,"b":1}'
 */
export function encodeCanonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => {
    const isPlainObject =
      typeof inner === 'object' && inner !== null && !Array.isArray(inner);
    return isPlainObject ? sortKeys(inner as Record<string, unknown>) : inner;
  });
}

function sortKeys(object: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(object).sort(([left], [right]) => (left < right ? -1 : 1)),
  );
}
