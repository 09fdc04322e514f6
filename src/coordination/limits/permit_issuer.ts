/**
 * Distributed rate limiting for one backend server that advertises a limit or is cold:
 * each request needs a permit. A single process issues all of them, because fixed shares
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
  readonly kind: keyof typeof permitTiming;
  /** Limit in requests per second. */
  readonly perSecond: number;
  readonly now: number;
  /** Since when this leader leads; permits of a previous one may still be in use. */
  readonly leadingSince: number;
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
 * most one request more than an announced limit is permitted, and none more than the
 * rate of a cold server.
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
   * const issuer = PermitIssuer.create({kind: 'announced', perSecond: 3.7, now, leadingSince});
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

  /** True if a permit can be issued now. */
  canIssue(now: number): boolean {
    this.refresh(now);
    return this.computeWaitMs(now) === 0;
  }

  /** True if no permit counts any more, so that a new issuer would decide the same. */
  isIdle(now: number): boolean {
    this.refresh(now);
    return this.issuedAt.length === 0;
  }

  /**
   * Grants a permit for one request if the limit allows it.
   *
   * @param isAllowed false if another limit of the same server does not allow the request
   */
  acquire(gatewayId: string, now: number, isAllowed = true): PermitDecision {
    this.refresh(now);
    this.lastRequestAt.set(gatewayId, now);
    const isGranted = isAllowed && this.computeWaitMs(now) === 0;
    if (isGranted) {
      this.tokens -= 1;
      this.issuedAt.push(now);
    }
    const gateways = this.countActiveGateways(now);
    const perPermitMs = MS_PER_SECOND / this.permitsPerSecond;
    const intervalMs = gateways * perPermitMs;
    const requestGapMs = Math.min(
      perPermitMs / REQUESTS_PER_PERMIT,
      this.timing.maxRequestGapMs,
    );
    const pauseMs = Math.max(this.computeWaitMs(now), gateways * requestGapMs);
    return {
      isGranted,
      pauseMs: Math.min(pauseMs, MAX_PAUSE_MS),
      intervalMs,
    };
  }

  private get timing() {
    return permitTiming[this.options.kind];
  }

  /**
   * Length of the sliding window. A rate below one request per window permits one in
   * the time that it takes to add up.
   */
  private get windowMs(): number {
    const {windowMs, extraPermits} = this.timing;
    const minMs = extraPermits > 0 ? 0 : MS_PER_SECOND / this.perSecond;
    return Math.max(windowMs, minMs);
  }

  /**
   * Permits per second. Never zero: the response to a request is what shows that a
   * limit of zero has ended.
   */
  private get permitsPerSecond(): number {
    const minimum = MS_PER_SECOND / (this.windowMs + this.timing.lifeMs);
    return Math.max(this.perSecond, minimum);
  }

  private get bucketCapacity(): number {
    return Math.max(
      MIN_BURST,
      1 + (this.permitsPerSecond * BURST_MS) / MS_PER_SECOND,
    );
  }

  private get maxInWindow(): number {
    const {extraPermits} = this.timing;
    const inWindow = (this.perSecond * this.windowMs) / MS_PER_SECOND;
    return Math.max(1, Math.floor(inWindow + extraPermits));
  }

  /** Returns the milliseconds until the next permit can be issued. */
  private computeWaitMs(now: number): number {
    const {windowMs} = this;
    const {lifeMs} = this.timing;
    const notBefore = this.options.leadingSince + windowMs + lifeMs;
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
    const added =
      ((now - this.refilledAt) * this.permitsPerSecond) / MS_PER_SECOND;
    this.tokens = Math.min(this.bucketCapacity, this.tokens + added);
    this.refilledAt = now;
    const since = now - this.windowMs - this.timing.lifeMs;
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
