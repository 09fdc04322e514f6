/** Limits the concurrent requests of each workspace. */

/** Admits a request or rejects it at once; nothing is queued. */
export class AdmissionControl {
  private readonly inFlight = new Map<string, number>();

  private constructor() {}

  /**
   * Creates an admission control without requests in flight.
   *
   * @example
   * const admission = AdmissionControl.create();
   * if (admission.admit('saburtalo', 8)) { ...; admission.release('saburtalo'); }
   */
  static create(): AdmissionControl {
    return new AdmissionControl();
  }

  /**
   * Admits one request unless the workspace is at its limit.
   *
   * @param limit maximum number of concurrent requests of the workspace at this entry
   */
  admit(workspace: string, limit: number): boolean {
    const current = this.inFlight.get(workspace) ?? 0;
    if (current >= limit) {
      return false;
    }
    this.inFlight.set(workspace, current + 1);
    return true;
  }

  /** Records that an admitted request has ended. */
  release(workspace: string): void {
    const current = this.inFlight.get(workspace) ?? 0;
    this.inFlight.set(workspace, Math.max(0, current - 1));
  }

  /** Number of requests in flight. */
  get total(): number {
    return [...this.inFlight.values()].reduce((sum, count) => sum + count, 0);
  }
}
