/** The lines that a gateway writes about requests: what decided each one, with its inputs. */
import {EventRing} from '../common/event_ring';
import {RequestResult} from './request_result';
import {GatewayRequest} from './gateway_request';
import {Refusal} from './refusal';
import {ControlPoller} from './control_poller';

/** An age that stands for "never", where a line needs a number. */
const NEVER_MS = 1e9;

/** Writes one line for each request. */
export class RequestLog {
  private constructor(
    private readonly events: EventRing,
    private readonly feed: Pick<ControlPoller, 'index' | 'ageMs'>,
  ) {}

  /**
   * Creates a log that names the rules which `feed` holds.
   *
   * @example
   * const log = GatewayLog.create(events, feed);
   */
  static create(
    events: EventRing,
    feed: Pick<ControlPoller, 'index' | 'ageMs'>,
  ): RequestLog {
    return new RequestLog(events, feed);
  }

  /** A request that was refused before it had a route and a place. */
  recordRefusal(request: GatewayRequest, refusal: Refusal): void {
    this.events.record({
      type: 'request-refused',
      subject: 'request',
      id: request.id,
      reason: refusal.reason,
      details: {
        status: refusal.status,
        rules: this.feed.index?.rules.version ?? 0,
        confirmedMsAgo: Math.round(Math.min(this.feed.ageMs, NEVER_MS)),
      },
    });
  }

  /** A request that was carried through, to whatever end. */
  recordResult(
    request: GatewayRequest,
    route: string,
    result: RequestResult,
  ): void {
    const {outcome, reason, targets, identity = '', ...figures} = result;
    this.events.record({
      type: `request-${outcome}`,
      subject: 'request',
      id: request.id,
      reason,
      details: {
        route,
        targets: targets.join(' '),
        ...figures,
        model: request.model ?? '',
        promptTokens: request.promptTokens,
        rules: this.feed.index?.rules.version ?? 0,
        identity,
      },
    });
  }
}
