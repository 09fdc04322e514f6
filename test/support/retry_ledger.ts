/** Requests and retries of all gateways together, compared with the shared retry budget in every window. */

/** A shared retry budget. */
interface RetryLimits {
  readonly ratio: number;
  readonly windowMs: number;
  readonly slack: number;
}

/** The window in which the largest part of the budget was used. */
interface FullestWindow {
  readonly endsAt: number;
  readonly retries: number;
  readonly allowed: number;
}

export class RetryLedger {
  /** Requests in each millisecond, by when callers sent them. */
  private readonly requests: number[] = [];
  /** Retries in each millisecond, by when they arrived at the pool. */
  private readonly retries: number[] = [];

  recordRequest(at: number): void {
    const slot = Math.max(0, Math.floor(at));
    this.requests[slot] = (this.requests[slot] ?? 0) + 1;
  }

  recordRetry(at: number): void {
    const slot = Math.floor(at);
    this.retries[slot] = (this.retries[slot] ?? 0) + 1;
  }

  /**
   * Finds the fullest window. A window is allowed what the requests in it, in the one before it
   * or in the one half a window before it permit, whichever has the most.
   */
  findFullestWindow({ratio, windowMs, slack}: RetryLimits): FullestWindow {
    const requests = sum(this.requests);
    const retries = sum(this.retries);
    let fullest = {endsAt: 0, retries: 0, allowed: slack};
    for (let endsAt = 0; endsAt < this.retries.length; endsAt += 1) {
      const counts = [0, windowMs / 2, windowMs].map(shift =>
        countWithin(requests, endsAt - shift, windowMs),
      );
      const allowed = ratio * Math.max(...counts) + slack;
      const sent = countWithin(retries, endsAt, windowMs);
      if (sent / allowed > fullest.retries / fullest.allowed) {
        fullest = {endsAt, retries: sent, allowed};
      }
    }
    return fullest;
  }
}

/** Running totals, which may be read past their end. */
function sum(counts: readonly number[]): (slot: number) => number {
  const totals = [0];
  for (let slot = 0; slot < counts.length; slot += 1) {
    totals.push(totals[slot] + (counts[slot] ?? 0));
  }
  return slot => totals[Math.max(0, Math.min(slot + 1, totals.length - 1))];
}

function countWithin(
  totals: (slot: number) => number,
  endsAt: number,
  windowMs: number,
): number {
  return totals(endsAt) - totals(endsAt - windowMs);
}
