/** The wait of one request for a retry while its pool's budget is borrowing. */
import {Clock} from '../../common/clock';
import {RetryCause} from './retry_cause';
import {RetryPolicy} from './retry_policy';

/** Several round trips to control and one commit; a longer wait would mostly end in a denial. */
const MAX_WAIT_MS = 250;

interface RetryWaitOptions {
  readonly policy: Pick<RetryPolicy, 'takeRetry' | 'recordMissedLoan'>;
  readonly clock: Clock;
}

interface RetryRequest {
  /** False if the route allows no other attempt. */
  readonly isAllowed: boolean;
  readonly cause: RetryCause;
  readonly onGranted: () => void;
  readonly onDenied: () => void;
}

/** Asks for one retry at a time. */
export class RetryWait {
  private request: RetryRequest | undefined;
  private until = -Infinity;

  private constructor(private readonly options: RetryWaitOptions) {}

  /**
   * Creates a wait that has not started.
   *
   * @example
   * const wait = RetryWait.create({policy, clock});
   * wait.begin({isAllowed: true, cause: 'broken', onGranted, onDenied});
   */
  static create(options: RetryWaitOptions): RetryWait {
    return new RetryWait(options);
  }

  get isWaiting(): boolean {
    return this.request !== undefined;
  }

  /** Calls one of the callbacks, at once unless a loan is pending. */
  begin(request: RetryRequest): void {
    this.until = this.options.clock.now() + MAX_WAIT_MS;
    this.request = request;
    this.check();
  }

  /** Asks again; called every few milliseconds while it waits. */
  check(): void {
    const {request} = this;
    if (!request) {
      return;
    }
    const verdict = request.isAllowed
      ? this.options.policy.takeRetry(request.cause)
      : 'denied';
    const {clock, policy} = this.options;
    if (verdict === 'pending' && clock.now() < this.until) {
      return;
    }
    if (verdict === 'pending') {
      policy.recordMissedLoan(request.cause);
    }
    this.end();
    if (verdict === 'granted') {
      request.onGranted();
    } else {
      request.onDenied();
    }
  }

  end(): void {
    this.request = undefined;
  }
}
