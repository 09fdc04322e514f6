/**
 * Returns the value that a record holds under a key from outside. Indexing would also
 * find what every object inherits, such as `constructor`.
 *
 * @example
 * const running = getOwn(counts, incarnation) ?? 0;
 */
export function getOwn<T>(
  record: Readonly<Record<string, T>>,
  key: string,
): T | undefined {
  return Object.hasOwn(record, key) ? record[key] : undefined;
}
