/** A list that stays sorted; insertion and removal find their place by binary search. */
export class SortedList<T> {
  private readonly items: T[] = [];

  private constructor(private readonly compare: (a: T, b: T) => number) {}

  /**
   * Creates an empty list.
   *
   * @param compare a total order: 0 only for the same item
   * @example
   * const list = SortedList.create<number>((a, b) => a - b);
   */
  static create<T>(compare: (a: T, b: T) => number): SortedList<T> {
    return new SortedList(compare);
  }

  get first(): T | undefined {
    return this.items[0];
  }

  get size(): number {
    return this.items.length;
  }

  add(item: T): void {
    this.items.splice(this.countBefore(item), 0, item);
  }

  /** Removes an item whose sort key has not changed since it was added. */
  remove(item: T): boolean {
    const at = this.countBefore(item);
    if (this.items[at] !== item) {
      return false;
    }
    this.items.splice(at, 1);
    return true;
  }

  /** Counts the items that sort before this one, whether or not it is in the list. */
  countBefore(item: T): number {
    let low = 0;
    let high = this.items.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.compare(this.items[middle], item) < 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
