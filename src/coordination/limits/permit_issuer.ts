/**
 * Distributed rate limiting for one backend server that advertises a limit: each
 * request needs a permit. A single process issues all of them, because fixed shares
 * per gateway fail where the limit is smaller than the number of gateways or demand
 * moves between them.
 */
import {permitTiming} from './permit_timing';

const MS_PER_SECOND = 1_000;
/** Unused permits of this period are kept, so that a short pause between requests loses none. */
const BURST_MS = 200;
const MIN_BURST = 3;
/** A gateway that requested a permit within this time counts as one with demand. */
const ACTIVE_WITHIN_MS = 2_000;
/** Target number of permit requests per issued permit, from all gateways together. */
const REQUESTS_PER_PERMIT = 4;
/** Upper bound of the pause between permit requests, as demand moves between gateways. */
const MAX_PAUSE_MS = 2_000;

/** Initial state of an issuer. */
interface PermitIssuerOptions {
  /** Limit in requests per second. */
  readonly perSecond: number;
  readonly now: number;
  /** Time before which permits of a previous leader may still be in use. */
  readonly notBefore: number;
}

/** Response to a permit request of a gateway. */
interface PermitDecision {
  readonly isGranted: boolean;
  /** Milliseconds until the same gateway should send its next permit request. */
  readonly pauseMs: number;
  /** Expected milliseconds between two permits for this gateway at the current demand. */
  readonly intervalMs: number;
}

/**
 * Combines a token bucket, which follows the rate, with a sliding window, in which at
 * most one request more than the limit is permitted.
 */
export class PermitIssuer {
  private perSecond: number;
  private tokens = 1;
  private refilledAt: number;
  /** Issue times of the permits that may count in the current window, oldest first. */
  private issuedAt: number[] = [];
  /** Time of the last permit request, by gateway. */
  private readonly lastRequestAt = new Map<string, number>();

  private constructor(private readonly options: PermitIssuerOptions) {
    this.perSecond = options.perSecond;
    this.refilledAt = options.now;
  }

  /**
   * Creates an issuer that has not issued any permit.
   *
   * @example
   * const issuer = PermitIssuer.create({perSecond: 3.7, now, notBefore: now});
   */
  static create(options: PermitIssuerOptions): PermitIssuer {
    return new PermitIssuer(options);
  }

  /** Changes the limit; permits issued before count against the new one. */
  setLimit(perSecond: number, now: number): void {
    this.refresh(now);
    this.perSecond = perSecond;
    this.tokens = Math.min(this.tokens, this.bucketCapacity);
  }

  /** Grants a permit for one request if the limit allows it. */
  acquire(gatewayId: string, now: number): PermitDecision {
    this.refresh(now);
    this.lastRequestAt.set(gatewayId, now);
    const isGranted = this.computeWaitMs(now) === 0;
    if (isGranted) {
      this.tokens -= 1;
      this.issuedAt.push(now);
    }
    const intervalMs =
      (this.countActiveGateways(now) * MS_PER_SECOND) / this.permitsPerSecond;
    const pauseMs = Math.max(
      this.computeWaitMs(now),
      intervalMs / REQUESTS_PER_PERMIT,
    );
    return {
      isGranted,
      pauseMs: Math.min(pauseMs, MAX_PAUSE_MS),
      intervalMs,
    };
  }

  /**
   * Permits per second. Never zero: the response to a request is what shows that a
   * limit of zero has ended.
   */
  private get permitsPerSecond(): number {
    const {windowMs, lifeMs} = permitTiming;
    return Math.max(this.perSecond, MS_PER_SECOND / (windowMs + lifeMs));
  }

  private get bucketCapacity(): number {
    return Math.max(
      MIN_BURST,
      1 + (this.permitsPerSecond * BURST_MS) / MS_PER_SECOND,
    );
  }

  private get maxInWindow(): number {
    const {windowMs} = permitTiming;
    return Math.floor((this.perSecond * windowMs) / MS_PER_SECOND + 1);
  }

  /** Returns the milliseconds until the next permit can be issued. */
  private computeWaitMs(now: number): number {
    const {windowMs, lifeMs} = permitTiming;
    const {notBefore} = this.options;
    const oldestCounted = this.issuedAt.length - this.maxInWindow;
    const windowOpensAt =
      oldestCounted < 0
        ? now
        : this.issuedAt[oldestCounted] + windowMs + lifeMs;
    const tokenWaitMs =
      ((1 - this.tokens) * MS_PER_SECOND) / this.permitsPerSecond;
    return Math.max(0, notBefore - now, windowOpensAt - now, tokenWaitMs);
  }

  private refresh(now: number): void {
    const {windowMs, lifeMs} = permitTiming;
    const added =
      ((now - this.refilledAt) * this.permitsPerSecond) / MS_PER_SECOND;
    this.tokens = Math.min(this.bucketCapacity, this.tokens + added);
    this.refilledAt = now;
    const since = now - windowMs - lifeMs;
    this.issuedAt = this.issuedAt.filter(at => at > since);
  }

  private countActiveGateways(now: number): number {
    for (const [gatewayId, at] of this.lastRequestAt) {
      if (now - at > ACTIVE_WITHIN_MS) {
        this.lastRequestAt.delete(gatewayId);
      }
    }
    return this.lastRequestAt.size;
  }
}
