/** Advances the waits, trials and stall detection of one request as time passes. */
import {CrashContainment} from './crashes/crash_containment';
import {RequestIdentity} from './crashes/request_identity';
import {SuspectTrial} from './crashes/suspect_trial';
import {RequestDispatcher} from './request_dispatcher';
import {RequestHistory} from './request_history';
import {RequestSender} from './request_sender';
import {ResponseRelay} from './responses/response_relay';
import {StallDetector} from './responses/stall_detector';
import {RetryPolicy} from './retries/retry_policy';
import {RetryWait} from './retries/retry_wait';
import {SlotWait} from './scheduling/slot_wait';

interface RequestMonitorOptions {
  readonly context: {
    readonly containment: CrashContainment;
    readonly identity: RequestIdentity;
  };
  readonly sender: RequestSender;
  readonly dispatcher: RequestDispatcher;
  readonly history: RequestHistory;
  readonly policy: RetryPolicy;
  readonly retryWait: RetryWait;
  readonly trial: SuspectTrial;
  readonly wait: SlotWait;
  readonly relay: ResponseRelay;
  readonly stall: StallDetector;
  /** Called when backend servers are known to end when they begin the request. */
  readonly onConvicted: () => void;
  /** Called when the request may be sent without a trial. */
  readonly onFree: () => void;
  /** Called when no backend server was free for a trial in time. */
  readonly onTrialOver: () => void;
}

/** Checked every few milliseconds while the request is open. */
export class RequestMonitor {
  private constructor(private readonly options: RequestMonitorOptions) {}

  /**
   * Creates the monitor of a request.
   *
   * @example
   * const monitor = RequestMonitor.create({context, sender, dispatcher, history, policy, retryWait, trial, wait, relay, stall, onConvicted, onFree, onTrialOver});
   * monitor.check(clock.now());
   */
  static create(options: RequestMonitorOptions): RequestMonitor {
    return new RequestMonitor(options);
  }

  check(now: number): void {
    const {sender, retryWait, trial, wait, dispatcher} = this.options;
    const {containment, identity} = this.options.context;
    const {attempt} = sender;
    const hasStarted = attempt?.hasStarted ?? false;
    const suspicion = hasStarted ? 'free' : containment.findStatus(identity);
    if (suspicion === 'convicted') {
      this.options.onConvicted();
    } else if (retryWait.isWaiting) {
      retryWait.check();
    } else if (trial.isWaiting) {
      this.checkTrial(now);
    } else if (wait.isWaiting && suspicion === 'suspected') {
      wait.end();
      trial.beginWaiting(now);
    } else if (wait.isWaiting) {
      dispatcher.check(now);
    } else if (attempt?.isTargetUnavailable) {
      attempt.stop('its backend server takes no new work');
    } else {
      this.checkStall(now);
    }
  }

  /** Sends a suspected request only to a backend server that runs no other suspect. */
  private checkTrial(now: number): void {
    const {dispatcher, trial, sender, history} = this.options;
    const {canQueue, canAwaitRepair} = dispatcher;
    const step = trial.check(now, canQueue || canAwaitRepair, () =>
      sender.findTarget(history.wasSent),
    );
    if (step.kind === 'send') {
      sender.send(step.target);
    } else if (step.kind === 'free') {
      this.options.onFree();
    } else if (step.kind === 'over') {
      this.options.onTrialOver();
    }
  }

  /** Moves a stalled stream to another backend server, if its policy allows it and one is available. */
  private checkStall(now: number): void {
    const {policy, sender, relay, stall} = this.options;
    const {attempt} = sender;
    if (!attempt || !policy.canFailOver || !relay.canResume) {
      return;
    }
    const reason = stall.findFailoverReason(attempt, now);
    // Without budget for a retry, waiting is better than cutting the stream.
    if (reason && policy.hasRetry && sender.findTarget(true, true)) {
      attempt.stop(reason);
    }
  }
}
