/** Notifies subscribers and pending calls of state changes. */
export class ChangeSignal {
  private readonly waiting = new Set<() => void>();

  private readonly listeners: Array<() => void> = [];

  private constructor() {}

  /**
   * Creates a signal without subscribers.
   *
   * @example
   * const signal = ChangeSignal.create();
   * await signal.waitForChange(1000);
   */
  static create(): ChangeSignal {
    return new ChangeSignal();
  }

  /** Resolves at the next change, or after `timeoutMs`. */
  waitForChange(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, timeoutMs);
      this.waiting.add(finish);
    });
  }

  /** Calls `listener` at each change, for as long as the signal lives. */
  subscribe(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Calls every listener and resolves every pending wait. */
  notify(): void {
    this.listeners.forEach(listener => listener());
    [...this.waiting].forEach(finish => finish());
  }
}
