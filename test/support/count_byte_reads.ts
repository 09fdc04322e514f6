/**
 * Wraps a buffer so that each byte that code reads by its index is counted, in
 * its parts as well, as `countBufferWork` sees only calls of functions.
 *
 * @example
 * let reads = 0;
 * splitter.split(countByteReads(chunk, () => (reads += 1)));
 */
export function countByteReads(bytes: Buffer, onRead: () => void): Buffer {
  return new Proxy(bytes, {
    get(target, name) {
      if (typeof name === 'string' && /^\d+$/.test(name)) {
        onRead();
        return target[Number(name)];
      }
      if (name === 'subarray') {
        return (start?: number, end?: number) =>
          countByteReads(target.subarray(start, end), onRead);
      }
      const value: unknown = Reflect.get(target, name, target);
      return typeof value === 'function' ? value.bind(target) : value;
    },
  });
}
