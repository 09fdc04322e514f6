/**
 * Counts the bytes that are copied, joined and searched in buffers while `run`
 * runs, so that a test of the growth of work needs no clock.
 *
 * @example
 * const work = countBufferWork(() => splitter.split(chunk));
 */
export function countBufferWork(run: () => void): number {
  let work = 0;
  const {concat} = Buffer;
  const {copy, indexOf, lastIndexOf} = Buffer.prototype;
  const {set} = Uint8Array.prototype;
  // Plain functions: a spy would keep every buffer that it was called with.
  Buffer.concat = list => {
    const joined = concat(list);
    work += joined.length;
    return joined;
  };
  Buffer.prototype.copy = function (...given: Parameters<typeof copy>) {
    const count = copy.apply(this, given);
    work += count;
    return count;
  };
  Uint8Array.prototype.set = function (...given) {
    set.apply(this, given);
    work += given[0].length;
  };
  Buffer.prototype.indexOf = function (...given: unknown[]) {
    const at = indexOf.apply(this, given as [Buffer, number]);
    const end = at < 0 ? this.length : at;
    work += end - ((given[1] as number | undefined) ?? 0);
    return at;
  };
  Buffer.prototype.lastIndexOf = function (...given: unknown[]) {
    const at = lastIndexOf.apply(this, given as [Buffer, number]);
    const start = (given[1] as number | undefined) ?? this.length;
    work += start - Math.max(0, at);
    return at;
  };
  try {
    run();
  } finally {
    Buffer.concat = concat;
    Buffer.prototype.copy = copy;
    Buffer.prototype.indexOf = indexOf;
    Buffer.prototype.lastIndexOf = lastIndexOf;
    Uint8Array.prototype.set = set;
  }
  return work;
}
