/** Sends one request to backend servers, one after the other, as far as their limits allow. */
import {GatewayTarget} from '../protocol/gateway_target';
import {Attempt} from './attempt';
import {createTargetKey} from './create_target_key';
import {RequestHistory} from './request_history';
import {ProxiedRequestOptions} from './proxied_request_options';
import {SendPermit} from './send_permit';

type AttemptHooks = Pick<
  Parameters<typeof Attempt.create>[0],
  'onHead' | 'onData' | 'onEnd'
>;

/** What sending takes beside the request itself. */
interface FlowSenderOptions extends AttemptHooks {
  readonly flow: ProxiedRequestOptions;
  readonly course: RequestHistory;
  /** When the caller gives up, on the gateway's clock. */
  readonly deadlineAt: number;
  readonly readLastEventId: () => string | undefined;
  /** What was decided when a permit was asked for still holds. */
  readonly maySend: () => boolean;
  readonly onSending: () => void;
  /** It was not sent: its backend server takes nothing now, by its limit. */
  readonly onDenied: () => void;
}

/** Knows where a request was sent and where it is. */
export class RequestSender {
  /** Where it is now. */
  attempt: Attempt | undefined;
  private readonly tried = new Set<string>();
  private isAsking = false;

  private constructor(private readonly options: FlowSenderOptions) {}

  /**
   * Creates a sender that has sent nothing.
   *
   * @example
   * const sender = FlowSender.create({flow, course, deadlineAt, readLastEventId, maySend, onSending, onDenied, onHead, onData, onEnd});
   */
  static create(options: FlowSenderOptions): RequestSender {
    return new RequestSender(options);
  }

  /** It waits for the leader's word on whether it may be sent. */
  get isAskingPermit(): boolean {
    return this.isAsking;
  }

  /**
   * One of the least busy backend servers that were not tried.
   *
   * @param isSure leaves out those that may deny it
   */
  findTarget(mayQueue: boolean, isSure = false): GatewayTarget | undefined {
    const {request, pool, board} = this.options.flow;
    return board.choose({
      pool: pool.name,
      mayQueue,
      isSure,
      model: pool.engine ? request.model : undefined,
      excluded: this.tried,
    });
  }

  /** Adds to a reason what backend servers say of themselves. */
  explainNoTarget(reason: string): string {
    const {pool, request, board, signals} = this.options.flow;
    const model = pool.engine ? request.model : undefined;
    const known = board.listIncarnations({pool: pool.name, model});
    const closed = signals.explainClosed(known);
    return closed === undefined ? reason : `${reason}; ${closed}`;
  }

  send(target: GatewayTarget): void {
    const {limits} = this.options.flow.signals;
    if (limits.isLimited(target.incarnation)) {
      void this.sendByPermit(target);
    } else {
      this.begin(target);
    }
  }

  private async sendByPermit(target: GatewayTarget): Promise<void> {
    const {flow, maySend, onDenied} = this.options;
    this.isAsking = true;
    const permit = await flow.signals.limits.askPermit(target.incarnation);
    this.isAsking = false;
    if (permit && flow.board.has(target.incarnation) && maySend()) {
      this.begin(target, permit);
    } else {
      onDenied();
    }
  }

  private begin(target: GatewayTarget, permit?: SendPermit): void {
    const {flow, course, deadlineAt, readLastEventId, onSending} = this.options;
    const {board, clock} = flow;
    onSending();
    this.tried.add(createTargetKey(target));
    const {incarnation} = target;
    const running = board.countRunning(incarnation);
    course.recordTarget(incarnation, running, clock.now());
    this.attempt = Attempt.create({
      ...flow,
      ...this.options,
      target,
      permit,
      remainingMs: Math.max(1, Math.floor(deadlineAt - clock.now())),
      lastEventId: readLastEventId(),
    });
  }
}
