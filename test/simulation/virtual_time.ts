/** Time that passes only when something happens, and the things that are to happen. */
import {Clock} from '../../src/common/clock';

interface Happening {
  readonly at: number;
  readonly order: number;
  readonly act: () => void;
}

/** The clock and the agenda of one simulated day. */
export class VirtualTime implements Clock {
  private time = 0;
  private count = 0;
  private readonly heap: Happening[] = [];

  private constructor() {}

  static create(): VirtualTime {
    return new VirtualTime();
  }

  now(): number {
    return this.time;
  }

  /** Lets something happen in `ms` milliseconds; what is due at the same moment keeps its order. */
  after(ms: number, act: () => void): void {
    this.count += 1;
    this.push({at: this.time + Math.max(0, ms), order: this.count, act});
  }

  /** Plays until a moment, or until nothing is left to happen. */
  async runUntil(until: number, isOver: () => boolean): Promise<void> {
    while (!isOver() && this.heap.length > 0 && this.heap[0].at <= until) {
      const {at, act} = this.pop();
      this.time = at;
      act();
      // Whatever waited for this goes on before anything else happens.
      await new Promise(resolve => setImmediate(resolve));
    }
    this.time = Math.max(this.time, until);
  }

  private push(happening: Happening): void {
    const {heap} = this;
    let at = heap.length;
    heap.push(happening);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(happening, heap[parent])) {
        break;
      }
      heap[at] = heap[parent];
      at = parent;
    }
    heap[at] = happening;
  }

  private pop(): Happening {
    const {heap} = this;
    const first = heap[0];
    const last = heap.pop();
    if (last && heap.length > 0) {
      this.sink(last);
    }
    return first;
  }

  private sink(happening: Happening): void {
    const {heap} = this;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= heap.length) {
        break;
      }
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right], heap[child])) {
        child = right;
      }
      if (!isBefore(heap[child], happening)) {
        break;
      }
      heap[at] = heap[child];
      at = child;
    }
    heap[at] = happening;
  }
}

function isBefore(left: Happening, right: Happening): boolean {
  return (
    left.at < right.at || (left.at === right.at && left.order < right.order)
  );
}
