/** Finds out whether the backend server of a request crashed when its connection was lost. */
import {Clock} from '../../common/clock';
import {GatewayTarget} from '../../protocol/gateway_target';
import {CrashContainment} from './crash_containment';
import {RequestIdentity} from './request_identity';
import {SuspectTrial} from './suspect_trial';

interface CrashCheckOptions {
  readonly containment: CrashContainment;
  readonly identity: RequestIdentity;
  readonly trial: SuspectTrial;
  readonly clock: Clock;
}

interface LostAttempt {
  readonly target: GatewayTarget;
  /** Part of the response body had been received. */
  readonly hasStarted: boolean;
}

/** Checks the attempts of one request. */
export class CrashCheck {
  private isPending = false;

  private constructor(private readonly options: CrashCheckOptions) {}

  /**
   * Creates the check of a request that has not lost a connection.
   *
   * @example
   * const check = CrashCheck.create({containment, identity, trial, clock});
   */
  static create(options: CrashCheckOptions): CrashCheck {
    return new CrashCheck(options);
  }

  /** True while it is not known whether the backend server of a lost attempt crashed. */
  get isRunning(): boolean {
    return this.isPending;
  }

  /**
   * Reports a lost connection. A request whose response had not begun may have crashed its
   * backend server, so this resolves once that is known; otherwise at once.
   */
  async recordConnectionLoss({
    target,
    hasStarted: hasResponseStarted,
  }: LostAttempt): Promise<void> {
    const {containment, identity, trial, clock} = this.options;
    const {name, parts} = identity;
    trial.recordConnectionLoss(clock.now());
    const loss = {target, name, parts, hasResponseStarted};
    const decided = containment.recordConnectionLoss(loss);
    if (!hasResponseStarted) {
      this.isPending = true;
      await decided;
      this.isPending = false;
    }
  }
}
