/**
 * Permits for one backend server that named a limit, each for one request. One
 * process issues all of them, since a share for each gateway is worth nothing where
 * the limit is smaller than the number of gateways, or where demand moves.
 */
import {permitTiming} from './permit_timing';

const MS_PER_SECOND = 1_000;
/** Permits that were not asked for are kept for so long, so that a moment without a question loses none. */
const BURST_MS = 200;
const LEAST_BURST = 3;
/** A gateway that asked this lately counts as one with demand. */
const ASKING_MS = 2_000;
/** Questions that all gateways together should ask for each permit. */
const ASKS_PER_PERMIT = 4;
/** Demand moves between gateways: none is kept from asking for longer. */
const LONGEST_PAUSE_MS = 2_000;

/** Whose permits they are. */
interface PermitIssuerOptions {
  readonly perSecond: number;
  readonly now: number;
  /** Before it another leader's permits may still be in use. */
  readonly notBefore: number;
}

/** The answer to a gateway that has a request for the backend server. */
interface PermitVerdict {
  readonly isGranted: boolean;
  /** Until the same gateway should ask again, in milliseconds. */
  readonly pauseMs: number;
  /** Between two permits for this gateway while the others go on asking, in milliseconds. */
  readonly intervalMs: number;
}

/** Issues at the pace of the limit, and never more than the limit and one in a window. */
export class PermitIssuer {
  private perSecond: number;
  private stock = 1;
  private stockedAt: number;
  /** When permits that may count in a window were issued, oldest first. */
  private issuedAt: number[] = [];
  /** When each gateway last asked. */
  private readonly askedAt = new Map<string, number>();

  private constructor(private readonly options: PermitIssuerOptions) {
    this.perSecond = options.perSecond;
    this.stockedAt = options.now;
  }

  /**
   * Creates an issuer that has issued nothing.
   *
   * @example
   * const issuer = PermitIssuer.create({perSecond: 3.7, now, notBefore: now});
   */
  static create(options: PermitIssuerOptions): PermitIssuer {
    return new PermitIssuer(options);
  }

  /** Follows a limit that has changed; what was issued counts against the new one. */
  setLimit(perSecond: number, now: number): void {
    this.refresh(now);
    this.perSecond = perSecond;
    this.stock = Math.min(this.stock, this.capacity);
  }

  /** Answers a gateway that would send one request now. */
  acquire(gatewayId: string, now: number): PermitVerdict {
    this.refresh(now);
    this.askedAt.set(gatewayId, now);
    const isGranted = this.computeWaitMs(now) === 0;
    if (isGranted) {
      this.stock -= 1;
      this.issuedAt.push(now);
    }
    const intervalMs = (this.countAskers(now) * MS_PER_SECOND) / this.pace;
    const pauseMs = Math.max(
      this.computeWaitMs(now),
      intervalMs / ASKS_PER_PERMIT,
    );
    return {
      isGranted,
      pauseMs: Math.min(pauseMs, LONGEST_PAUSE_MS),
      intervalMs,
    };
  }

  /** Permits a second; some, so that what names a limit of nothing can show that it is over. */
  private get pace(): number {
    const {windowMs, lifeMs} = permitTiming;
    return Math.max(this.perSecond, MS_PER_SECOND / (windowMs + lifeMs));
  }

  private get capacity(): number {
    return Math.max(LEAST_BURST, 1 + (this.pace * BURST_MS) / MS_PER_SECOND);
  }

  private get mostInWindow(): number {
    const {windowMs} = permitTiming;
    return Math.floor((this.perSecond * windowMs) / MS_PER_SECOND + 1);
  }

  /** Until the next permit can be issued. */
  private computeWaitMs(now: number): number {
    const {windowMs, lifeMs} = permitTiming;
    const {notBefore} = this.options;
    const spare = this.issuedAt.length - this.mostInWindow;
    const windowOpensAt =
      spare < 0 ? now : this.issuedAt[spare] + windowMs + lifeMs;
    const stockMs = ((1 - this.stock) * MS_PER_SECOND) / this.pace;
    return Math.max(0, notBefore - now, windowOpensAt - now, stockMs);
  }

  private refresh(now: number): void {
    const {windowMs, lifeMs} = permitTiming;
    const added = ((now - this.stockedAt) * this.pace) / MS_PER_SECOND;
    this.stock = Math.min(this.capacity, this.stock + added);
    this.stockedAt = now;
    const since = now - windowMs - lifeMs;
    this.issuedAt = this.issuedAt.filter(at => at > since);
  }

  private countAskers(now: number): number {
    for (const [gatewayId, at] of this.askedAt) {
      if (now - at > ASKING_MS) {
        this.askedAt.delete(gatewayId);
      }
    }
    return this.askedAt.size;
  }
}
