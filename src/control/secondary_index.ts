/** Finds by a value who has it, without a look at all others. */
export class SecondaryIndex {
  private readonly holders = new Map<string, Set<string>>();

  private constructor() {}

  /**
   * Creates an empty index.
   *
   * @example
   * const byAddress = ValueIndex.create();
   * byAddress.add('10.0.0.1:80', 'i1');
   */
  static create(): SecondaryIndex {
    return new SecondaryIndex();
  }

  /** Notes that `key` has this value; none is not noted. */
  add(value: string | undefined, key: string): void {
    if (value === undefined) {
      return;
    }
    const keys = this.holders.get(value) ?? new Set();
    this.holders.set(value, keys.add(key));
  }

  remove(value: string | undefined, key: string): void {
    const keys = value === undefined ? undefined : this.holders.get(value);
    if (value === undefined || !keys) {
      return;
    }
    keys.delete(key);
    if (keys.size === 0) {
      this.holders.delete(value);
    }
  }

  /** Keys with this value, in the order of their coming. */
  list(value: string): readonly string[] {
    return [...(this.holders.get(value) ?? [])];
  }

  clear(): void {
    this.holders.clear();
  }
}
