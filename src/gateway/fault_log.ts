/** Logs the errors within the gateway that ended a request. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {ThrottledEventLog} from '../common/throttled_event_log';

const MAX_CAUSE_LENGTH = 200;
/** Lines of a stack: the message, and where the error comes from. */
const MAX_STACK_LINES = 6;

/** Records at most one event a second for each cause, with the number of those left out. */
export class FaultLog {
  private readonly lines: ThrottledEventLog;

  private constructor(events: EventRing, clock: Clock) {
    this.lines = ThrottledEventLog.create(events, clock);
  }

  /**
   * Creates a log that records into `events`.
   *
   * @example
   * const log = FaultLog.create(events, clock);
   */
  static create(events: EventRing, clock: Clock): FaultLog {
    return new FaultLog(events, clock);
  }

  /**
   * Records an error that ended a request.
   *
   * @param status sent to the caller; 0 if none could be sent
   */
  record(requestId: string, fault: Error, status: number): void {
    const cause = fault.message.slice(0, MAX_CAUSE_LENGTH);
    const stack = (fault.stack ?? '').split('\n', MAX_STACK_LINES).join('\n');
    this.lines.record(cause, {
      type: 'request-fault',
      subject: 'request',
      id: requestId,
      reason: 'an error within the gateway ended the request',
      details: {cause, error: fault.name, stack, status},
    });
  }
}
