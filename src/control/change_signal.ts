/** Lets answers wait until something changed. */
export class ChangeSignal {
  private readonly waiting = new Set<() => void>();

  private constructor() {}

  /**
   * Creates a signal that nobody waits for.
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

  /** Wakes everybody who waits. */
  announce(): void {
    [...this.waiting].forEach(finish => finish());
  }
}
