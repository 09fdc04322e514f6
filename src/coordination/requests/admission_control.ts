/** Counts what each workspace has in flight against its share of the limit. */

/** Decides at once whether a request may start. */
export class AdmissionControl {
  private readonly inFlight = new Map<string, number>();

  private constructor() {}

  /**
   * Creates an admission with nothing in flight.
   *
   * @example
   * const admission = Admission.create();
   * if (admission.admit('saburtalo', 8)) { ...; admission.release('saburtalo'); }
   */
  static create(): AdmissionControl {
    return new AdmissionControl();
  }

  /**
   * Takes one place, if there is one.
   *
   * @param limit requests of the workspace that this entry may have in flight
   */
  admit(workspace: string, limit: number): boolean {
    const current = this.inFlight.get(workspace) ?? 0;
    if (current >= limit) {
      return false;
    }
    this.inFlight.set(workspace, current + 1);
    return true;
  }

  /** Gives a place back. */
  release(workspace: string): void {
    const current = this.inFlight.get(workspace) ?? 0;
    this.inFlight.set(workspace, Math.max(0, current - 1));
  }

  /** Everything in flight. */
  get total(): number {
    return [...this.inFlight.values()].reduce((sum, count) => sum + count, 0);
  }
}
