/** Retries that this gateway has borrowed from the slack which all gateways share. */
import {Clock} from '../../common/clock';
import {retryLoanTiming} from '../../coordination/limits/retry_loan_timing';

/** The least that is asked for: a single retry is often followed by others. */
const MIN_WANTED = 2;
/** Requests that wait ask again and again, so their number says little about the need. */
const MAX_WANTED = 32;
/** After an error or a denied loan without a pause. */
const RETRY_PAUSE_MS = 250;

/** The answer of control to a request for a loan. */
interface LoanAnswer {
  readonly granted: number;
  readonly pauseMs: number;
}

interface RetryLoansOptions {
  /** Counts suspensions, so that no loan is used for too long. */
  readonly leaseClock: Clock;
  readonly askLoan: (wanted: number) => Promise<LoanAnswer>;
}

/** A part of the slack, which this gateway may use for a time. */
interface RetryLoan {
  left: number;
  readonly expiresAt: number;
}

/** The loans of one pool; asks for another when the last is half used. */
export class RetryLoans {
  private loans: RetryLoan[] = [];
  private lastGranted = 0;
  /** Retries that were wanted since the last request for a loan. */
  private wanted = 0;
  private isAsking = false;
  private pausedUntil = -Infinity;

  private constructor(private readonly options: RetryLoansOptions) {}

  /**
   * Creates an empty stock.
   *
   * @example
   * const loans = RetryLoans.create({leaseClock, askLoan});
   * const loan = loans.take();
   */
  static create(options: RetryLoansOptions): RetryLoans {
    return new RetryLoans(options);
  }

  /** True while control decides on a loan. */
  get isBorrowing(): boolean {
    return this.isAsking;
  }

  /** Retries that are left. */
  get left(): number {
    const now = this.options.leaseClock.now();
    this.loans = this.loans.filter(
      ({left, expiresAt}) => left > 0 && now < expiresAt,
    );
    return this.loans.reduce((sum, {left}) => sum + left, 0);
  }

  /** Takes a retry; undefined if none is left, and then asks for a loan. */
  take(): RetryLoan | undefined {
    const {left} = this;
    const [loan] = this.loans;
    this.wanted += 1;
    if (loan) {
      loan.left -= 1;
    }
    if (left - 1 < this.lastGranted / 2) {
      this.ask();
    }
    return loan;
  }

  private ask(): void {
    const {leaseClock} = this.options;
    const askedAt = leaseClock.now();
    if (this.isAsking || askedAt < this.pausedUntil) {
      return;
    }
    const wanted = Math.min(MAX_WANTED, Math.max(MIN_WANTED, 2 * this.wanted));
    this.wanted = 0;
    this.isAsking = true;
    void this.acquireLoan(wanted, askedAt);
  }

  private async acquireLoan(wanted: number, askedAt: number): Promise<void> {
    const answer = await this.options
      .askLoan(wanted)
      .catch(() => ({granted: 0, pauseMs: RETRY_PAUSE_MS}));
    this.isAsking = false;
    this.receive(answer, askedAt);
  }

  private receive({granted, pauseMs}: LoanAnswer, askedAt: number): void {
    const {leaseClock} = this.options;
    this.lastGranted = granted;
    if (granted > 0) {
      const expiresAt = askedAt + retryLoanTiming.useWithinMs;
      this.loans.push({left: granted, expiresAt});
    } else {
      this.pausedUntil = leaseClock.now() + Math.max(pauseMs, 1);
    }
  }
}
