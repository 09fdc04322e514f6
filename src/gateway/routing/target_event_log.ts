/** Logs why targets get no requests for a while. */
import {Clock} from '../../common/clock';
import {EventRing} from '../../common/event_ring';
import {ThrottledEventLog} from '../../common/throttled_event_log';
import {GatewayTarget} from '../../protocol/gateway_target';
import {TargetState} from './target_state';

/** Records at most one event a second of each kind. */
export class TargetEventLog {
  private readonly lines: ThrottledEventLog;

  private constructor(events: EventRing, clock: Clock) {
    this.lines = ThrottledEventLog.create(events, clock);
  }

  /**
   * Creates a log that records into `events`.
   *
   * @example
   * const log = TargetEventLog.create(events, clock);
   */
  static create(events: EventRing, clock: Clock): TargetEventLog {
    return new TargetEventLog(events, clock);
  }

  /**
   * Records that no connection to a target could be made.
   *
   * @param cause a code such as ECONNREFUSED
   */
  recordUnreachable(target: GatewayTarget, cause: string): void {
    const {incarnation, pool, address} = target;
    this.lines.record(`unreachable ${pool} ${cause}`, {
      type: 'backend-unreachable',
      subject: 'host',
      id: incarnation,
      reason: 'no connection to it could be made',
      details: {pool, address: String(address), cause},
    });
  }

  /**
   * Records that a target did not take a request.
   *
   * @param reportAgeMs age of the load that other gateways reported
   */
  recordRefusal(
    {target, running, runningElsewhere}: TargetState,
    reason: string,
    reportAgeMs: number,
  ): void {
    this.lines.record(`send-refused ${reason}`, {
      type: 'send-refused',
      subject: 'host',
      id: target.incarnation,
      reason,
      details: {
        epoch: target.epoch ?? 0,
        slots: target.slots,
        running,
        runningElsewhere,
        reportAgeMs: Math.round(reportAgeMs),
      },
    });
  }
}
