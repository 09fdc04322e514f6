/** Chooses backend servers for one request and sends it to one at a time, within their rate limits. */
import {FaultBoundary} from '../common/fault_boundary';
import {GatewayTarget} from '../protocol/gateway_target';
import {Attempt} from './attempt';
import {createTargetKey} from './routing/create_target_key';
import {ProxiedRequestOptions} from './proxied_request_options';
import {RequestHistory} from './request_history';
import {SendPermit} from './limits/send_permit';
import {RetryPolicy} from './retries/retry_policy';

type AttemptCallbacks = Pick<
  Parameters<typeof Attempt.create>[0],
  'onHead' | 'onData' | 'onEnd'
>;

interface RequestSenderOptions extends AttemptCallbacks {
  /** Of the request; takes charge of what runs later. */
  readonly boundary: FaultBoundary;
  readonly context: ProxiedRequestOptions;
  readonly history: RequestHistory;
  readonly policy: RetryPolicy;
  /** When the caller gives up, in milliseconds of the gateway's monotonic clock. */
  readonly deadlineAt: number;
  readonly readLastEventId: () => string | undefined;
  /** False if the request must not be sent any more, though a permit was granted. */
  readonly canStillSend: () => boolean;
  readonly onSending: (target: GatewayTarget) => void;
  /** Called when the request was not sent: no permit was granted, or it came too late. */
  readonly onPermitDenied: () => void;
  /** Called when the request was not sent because the rules are no longer confirmed. */
  readonly onUnconfirmed: () => void;
  /** Called when the request was not sent because the retry budget has none left for it. */
  readonly onRetryDenied: () => void;
}

/** Holds the current attempt and the backend servers that were tried. */
export class RequestSender {
  /** The attempt under way. */
  attempt: Attempt | undefined;
  private readonly tried = new Set<string>();

  private constructor(private readonly options: RequestSenderOptions) {}

  /**
   * Creates a sender that has not sent the request yet.
   *
   * @example
   * const sender = RequestSender.create({boundary, context, history, deadlineAt, readLastEventId, canStillSend, onSending, onPermitDenied, onHead, onData, onEnd});
   */
  static create(options: RequestSenderOptions): RequestSender {
    return new RequestSender(options);
  }

  /** Lets a backend server that refused the request without running it be tried again. */
  retain(target: GatewayTarget): void {
    this.tried.delete(createTargetKey(target));
  }

  /**
   * Finds one of the least loaded backend servers that were not tried yet.
   *
   * @param excludesLimited leaves out backend servers that may deny the request
   * @param full keys of backend servers that have no slot for this gateway
   */
  findTarget(
    mayQueue: boolean,
    excludesLimited = false,
    full: readonly string[] = [],
  ): GatewayTarget | undefined {
    const {request, pool, balancer} = this.options.context;
    return balancer.choose({
      ...this.query,
      mayQueue,
      excludesLimited,
      engine: pool.engine,
      promptTokens: request.promptTokens,
      excluded:
        full.length > 0 ? new Set([...this.tried, ...full]) : this.tried,
    });
  }

  /** Appends to a reason what makes the backend servers unavailable: what they announced, an evacuation, or outdated rules. */
  explainNoTarget(reason: string): string {
    const {balancer, signals} = this.options.context;
    const incarnations = balancer.listIncarnations(this.query);
    const evacuated = this.listEvacuatedZones();
    const {isConfirmed} = balancer.zones;
    const explanations = [
      isConfirmed ? '' : 'control did not confirm the rules lately',
      evacuated.length === 0
        ? ''
        : `every zone that serves it is evacuated: ${evacuated.join(' ')}`,
      signals.explainUnavailable(incarnations) ?? '',
    ];
    return [reason, ...explanations.filter(Boolean)].join('; ');
  }

  /** True if every zone with backend servers for it is evacuated. */
  get isEvacuated(): boolean {
    return this.listEvacuatedZones().length > 0;
  }

  /** The zones of the backend servers for it if all of these zones are evacuated. */
  private listEvacuatedZones(): string[] {
    const {balancer} = this.options.context;
    return balancer.zones.listEvacuated(() => balancer.listTargets(this.query));
  }

  /** The backend servers that serve the request. */
  private get query() {
    const {pool, request} = this.options.context;
    return {pool: pool.name, model: pool.engine ? request.model : undefined};
  }

  /** Sends the request, unless the rules by which it was admitted are no longer confirmed. */
  send(target: GatewayTarget): void {
    const {signals, isConfirmed} = this.options.context;
    const {limits} = signals;
    if (!isConfirmed()) {
      this.options.onUnconfirmed();
    } else if (limits.isLimited(target.incarnation)) {
      this.options.boundary.watch(this.sendWithPermit(target));
    } else {
      this.startAttempt(target);
    }
  }

  private async sendWithPermit(target: GatewayTarget): Promise<void> {
    const {context, canStillSend, onPermitDenied} = this.options;
    const permit = await context.signals.limits.acquirePermit(
      target.incarnation,
    );
    if (
      permit &&
      context.balancer.isOpen(target.incarnation) &&
      canStillSend()
    ) {
      this.startAttempt(target, permit);
    } else {
      onPermitDenied();
    }
  }

  private startAttempt(target: GatewayTarget, permit?: SendPermit): void {
    const {context, history, deadlineAt, readLastEventId, onSending, policy} =
      this.options;
    if (!policy.prepareSend()) {
      this.options.onRetryDenied();
      return;
    }
    const {balancer, clock} = context;
    onSending(target);
    this.tried.add(createTargetKey(target));
    const {incarnation} = target;
    const running = balancer.countRunning(incarnation);
    history.recordTarget(incarnation, running, clock.now());
    const attempt = Attempt.create({
      ...context,
      ...this.options,
      target,
      permit,
      retry: policy.takeGrant(),
      onWritten: () => policy.recordWritten(),
      remainingMs: Math.max(1, Math.floor(deadlineAt - clock.now())),
      lastEventId: readLastEventId(),
    });
    // Known before anything is sent, so that an attempt that ends within the call is stopped like any other.
    this.attempt = attempt;
    attempt.send();
  }
}
