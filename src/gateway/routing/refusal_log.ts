/** Logs the sends that targets refuse, with the numbers that they were decided by. */
import {Clock} from '../../common/clock';
import {EventRing} from '../../common/event_ring';
import {ThrottledEventLog} from '../../common/throttled_event_log';
import {TargetState} from './target_state';
import {UnreportedLoad} from './unreported_load';

/** Shared by all targets of a gateway. */
export class RefusalLog {
  private constructor(
    private readonly eventLog: ThrottledEventLog,
    private readonly unreported: UnreportedLoad,
  ) {}

  /**
   * Creates a log that records into `events`.
   *
   * @example
   * const refusals = RefusalLog.create(events, clock, unreported);
   */
  static create(
    events: EventRing,
    clock: Clock,
    unreported: UnreportedLoad,
  ): RefusalLog {
    return new RefusalLog(ThrottledEventLog.create(events, clock), unreported);
  }

  record(state: TargetState, reason: string): void {
    const {target, running, runningElsewhere, ownSlots} = state;
    this.eventLog.record(`send-refused ${reason}`, {
      type: 'send-refused',
      subject: 'host',
      id: target.incarnation,
      reason,
      details: {
        epoch: target.epoch ?? 0,
        slots: target.slots,
        running,
        runningElsewhere,
        ownSlots,
        reportAgeMs: Math.round(this.unreported.reportAgeMs),
      },
    });
  }
}
