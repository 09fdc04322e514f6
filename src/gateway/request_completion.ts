/** The end of one request: the final answer to its caller, and its report. */
import {runEach} from '../common/run_each';
import {ProxiedRequestOptions} from './proxied_request_options';
import {RequestHistory} from './request_history';
import {RequestResult} from './request_result';
import {endFaultyResponse} from './responses/end_faulty_response';
import {ERROR_STATUS} from './responses/error_status';
import {sendErrorResponse} from './responses/send_error_response';
import {RetryPolicy} from './retries/retry_policy';
import {SlotWait} from './scheduling/slot_wait';

interface RequestCompletionOptions {
  readonly context: ProxiedRequestOptions;
  readonly history: RequestHistory;
  readonly policy: RetryPolicy;
  readonly wait: SlotWait;
  /** Key under which the forecast keeps its time to the first event. */
  readonly work: string;
}

/** An error within the gateway that ended the request. */
interface RequestFault {
  readonly error: Error;
  /** The request was written to a backend server that may have executed it. */
  readonly mayHaveRun: boolean;
  /** Steps that give back what the request holds. */
  readonly releases: ReadonlyArray<(reason: string) => void>;
}

/** Reports the result once, whatever else ends the request. */
export class RequestCompletion {
  private isReported = false;

  private constructor(private readonly options: RequestCompletionOptions) {}

  /**
   * Creates the completion of a request that is under way.
   *
   * @example
   * const completion = RequestCompletion.create({context, history, policy, wait, work});
   */
  static create(options: RequestCompletionOptions): RequestCompletion {
    return new RequestCompletion(options);
  }

  /** Reports a request whose caller got the whole response of a backend server. */
  recordAnswered(status: number): void {
    this.report('answered', 'whole', status);
  }

  /** Reports a request whose caller has left. */
  recordDisconnect(): void {
    this.report('gone', 'the caller disconnected', 0);
  }

  /** Answers with an error of the gateway. */
  sendError(cause: string, status: number): void {
    const {context, policy, wait} = this.options;
    const {response, request} = context;
    const reason = policy.explain(cause);
    const details = {requestId: request.id, reason, status, wait};
    const end = sendErrorResponse({response, ...details});
    this.report(end.outcome, reason, end.status);
  }

  /** Ends the request after an error; each step is taken, whichever of them fails as well. */
  endAfterFault({error, mayHaveRun, releases}: RequestFault): void {
    const {response, request, faultLog} = this.options.context;
    const reason = `an internal error: ${error.message}`;
    const answer = {response, reason, requestId: request.id, mayHaveRun};
    let status = 0;
    const failures = runEach([
      ...releases.map(release => () => release(reason)),
      () => (status = endFaultyResponse(answer)),
      () => {
        const isRefused = status === ERROR_STATUS.notRun;
        this.report(isRefused ? 'refused' : 'failed', reason, status);
      },
    ]);
    [error, ...failures].forEach(each =>
      faultLog.record(request.id, each, status),
    );
  }

  private report(
    outcome: RequestResult['outcome'],
    reason: string,
    status: number,
  ): void {
    if (this.isReported) {
      return;
    }
    this.isReported = true;
    const {context, history, work} = this.options;
    const {clock, onDone, forecast} = context;
    onDone({outcome, reason, status, ...history.describe(clock.now())});
    const {timeToFirstEventMs} = history;
    if (timeToFirstEventMs !== undefined) {
      forecast.recordFirstEventMs(work, timeToFirstEventMs);
    }
  }
}
