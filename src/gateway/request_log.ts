/** Logs the outcome of each request together with the inputs of the decision. */
import {EventRing} from '../common/event_ring';
import {ControlPoller} from './control/control_poller';
import {GatewayRequest} from './gateway_request';
import {Refusal} from './refusal';
import {RequestResult} from './request_result';

/** Logged as the age of rules that were never confirmed, since the field is a number. */
const UNCONFIRMED_AGE_MS = 1e9;

/** Writes one event per request. */
export class RequestLog {
  private constructor(
    private readonly events: EventRing,
    private readonly poller: Pick<ControlPoller, 'index' | 'confirmationAgeMs'>,
  ) {}

  /**
   * Creates a log that records the rules version which `poller` holds.
   *
   * @example
   * const log = RequestLog.create(events, poller);
   */
  static create(
    events: EventRing,
    poller: Pick<ControlPoller, 'index' | 'confirmationAgeMs'>,
  ): RequestLog {
    return new RequestLog(events, poller);
  }

  /** Records a request that was refused at admission. */
  recordRefusal(request: GatewayRequest, refusal: Refusal): void {
    this.events.record({
      type: 'request-refused',
      subject: 'request',
      id: request.id,
      reason: refusal.reason,
      details: {
        status: refusal.status,
        rules: this.poller.index?.rules.version ?? 0,
        confirmedMsAgo: Math.round(
          Math.min(this.poller.confirmationAgeMs, UNCONFIRMED_AGE_MS),
        ),
      },
    });
  }

  /** Records the outcome of a request that was admitted. */
  recordResult(
    request: GatewayRequest,
    route: string,
    result: RequestResult,
  ): void {
    const {outcome, reason, targets, identity = '', ...figures} = result;
    const {received, ...others} = figures;
    this.events.record({
      type: `request-${outcome}`,
      subject: 'request',
      id: request.id,
      reason,
      details: {
        route,
        targets: targets.join(' '),
        ...others,
        ...(received === undefined ? {} : {received}),
        model: request.model ?? '',
        promptTokens: request.promptTokens,
        rules: this.poller.index?.rules.version ?? 0,
        identity,
      },
    });
  }
}
