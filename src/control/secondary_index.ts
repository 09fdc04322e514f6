/** Finds the keys that have a value without a scan of all entries. */
export class SecondaryIndex {
  private readonly keysByValue = new Map<string, Set<string>>();

  private constructor() {}

  /**
   * Creates an empty index.
   *
   * @example
   * const byAddress = SecondaryIndex.create();
   * byAddress.add('10.0.0.1:80', 'i1');
   */
  static create(): SecondaryIndex {
    return new SecondaryIndex();
  }

  /** Adds `key` under this value; an undefined value is ignored. */
  add(value: string | undefined, key: string): void {
    if (value === undefined) {
      return;
    }
    const keys = this.keysByValue.get(value) ?? new Set();
    this.keysByValue.set(value, keys.add(key));
  }

  remove(value: string | undefined, key: string): void {
    const keys = value === undefined ? undefined : this.keysByValue.get(value);
    if (value === undefined || !keys) {
      return;
    }
    keys.delete(key);
    if (keys.size === 0) {
      this.keysByValue.delete(value);
    }
  }

  /** Keys with this value, in the order in which they were added. */
  list(value: string): readonly string[] {
    return [...(this.keysByValue.get(value) ?? [])];
  }

  clear(): void {
    this.keysByValue.clear();
  }
}
