/**
 * Runs one unit of work where libraries, timers and other units call it back. Nobody
 * above these callbacks knows whose work failed, so an error that left one would end the
 * process, or the work of others.
 */
export class FaultBoundary {
  private constructor(private readonly onFault: (fault: Error) => void) {}

  /**
   * Creates the boundary of one unit of work.
   *
   * @param onFault ends the work and returns what it holds; may be called more than once, and must not throw
   * @example
   * const boundary = FaultBoundary.create(fault => request.endAfterFault(fault));
   * setTimeout(boundary.wrap(() => request.expire()), timeoutMs);
   */
  static create(onFault: (fault: Error) => void): FaultBoundary {
    return new FaultBoundary(onFault);
  }

  /** Runs a step; returns undefined if it fails. */
  run<T>(step: () => T): T | undefined {
    try {
      return step();
    } catch (error) {
      this.onFault(error as Error);
      return undefined;
    }
  }

  /** Returns a callback that never throws. */
  wrap<A extends unknown[]>(
    callback: (...args: A) => void,
  ): (...args: A) => void {
    return (...args) => this.run(() => callback(...args));
  }

  /** Takes charge of asynchronous work that nobody awaits. */
  watch(work: Promise<unknown>): void {
    work.catch((error: Error) => this.onFault(error));
  }
}
