/** One dispatch of a request to one backend server, and the meaning of each way it can end. */
import {Clock} from '../common/clock';
import {GatewayTarget} from '../protocol/gateway_target';
import {HttpClientPool} from '../transport/http_client_pool';
import {AnswerHead} from './answer_head';
import {AttemptEnd} from './attempt_end';
import {BackendSignals} from './backend_signals';
import {CallerDialect} from './caller_dialect';
import {GatewayRequest} from './gateway_request';
import {SendPermit} from './send_permit';
import {TargetBoard} from './target_board';

/** What an attempt needs. */
interface AttemptOptions {
  readonly request: GatewayRequest;
  readonly body: Buffer;
  readonly target: GatewayTarget;
  /** Where the target has a limit. */
  readonly permit?: SendPermit;
  readonly workspace?: string;
  readonly remainingMs: number;
  readonly lastEventId?: string;
  readonly maxConnections: number;
  readonly origins: HttpClientPool;
  readonly board: TargetBoard;
  readonly signals: BackendSignals;
  readonly dialect: CallerDialect;
  readonly clock: Clock;
  /** The head of an answer that is the backend server's own. */
  readonly onHead: (head: AnswerHead) => void;
  readonly onData: (chunk: Buffer) => void;
  /** Told once, as the last thing. */
  readonly onEnd: (end: AttemptEnd) => void;
}

/** An attempt under way. */
export class Attempt {
  /** When it was sent or bytes last came, whichever is newer. */
  quietSince: number;
  private handle: ReturnType<HttpClientPool['call']> | undefined;
  private head: AnswerHead | undefined;
  private hasBytes = false;
  private isSent = false;
  private sentAt = -Infinity;
  private isEnded = false;
  private readonly recordTaken: ReturnType<BackendSignals['begin']>;
  private isHeldBack = false;

  private constructor(private readonly options: AttemptOptions) {
    const {signals, target} = options;
    this.quietSince = options.clock.now();
    this.recordTaken = signals.begin(target.incarnation);
  }

  /**
   * Sends a request.
   *
   * @example
   * const attempt = Attempt.create(options);
   */
  static create(options: AttemptOptions): Attempt {
    const attempt = new Attempt(options);
    attempt.send();
    return attempt;
  }

  get target(): GatewayTarget {
    return this.options.target;
  }

  /** Bytes of the answer's body have come. */
  get hasStarted(): boolean {
    return this.hasBytes;
  }

  /** It waits for a connection: the backend server has seen nothing of it. */
  get isWaiting(): boolean {
    return !this.isSent && !this.isEnded;
  }

  /** It waits for a connection to a backend server that control no longer tells, or that takes nothing now. */
  get isLeftBehind(): boolean {
    const {board, target} = this.options;
    const isOpen = board.has(target.incarnation) && this.isWelcome;
    return this.isWaiting && !isOpen;
  }

  /** The backend server wants it still, and what allowed it to go there holds. */
  private get isWelcome(): boolean {
    const {signals, target, permit} = this.options;
    const {incarnation} = target;
    const isAllowed = permit
      ? !permit.hasExpired()
      : !signals.limits.isLimited(incarnation);
    return isAllowed && signals.isWelcome(incarnation);
  }

  /** Gives up; the backend server sees its connection close. */
  stop(reason: string): void {
    this.finish({kind: this.isSent ? 'broken' : 'not-run', reason});
    this.handle?.abort();
  }

  /** Stops reading until the caller has room. */
  pause(): void {
    this.isHeldBack = true;
    this.handle?.pause();
  }

  /** Nothing is read, because the caller has no room. */
  get isPaused(): boolean {
    return this.isHeldBack;
  }

  resume(): void {
    this.isHeldBack = false;
    this.quietSince = this.options.clock.now();
    this.handle?.resume();
  }

  private send(): void {
    const {request, body, target, dialect, origins, board} = this.options;
    const {workspace, remainingMs, lastEventId, maxConnections} = this.options;
    const {incarnation, address} = target;
    board.recordStart(incarnation, request.promptTokens);
    const headers = dialect.createHeaders(request, {
      incarnation,
      workspace,
      remainingMs,
      lastEventId,
    });
    this.handle = origins.call(
      {
        address,
        method: request.method,
        path: request.path,
        headers,
        body: body.length === 0 ? null : body,
        maxConnections,
      },
      {
        onSent: () => this.handleSent(),
        onHead: (status, raw) =>
          this.handleHead(dialect.readAnswer(status, raw)),
        onData: chunk => this.handleData(chunk),
        onEnd: () => this.handleEnd(),
        onError: error => this.handleError(error),
      },
    );
  }

  /** It waited for its connection until now, and its backend server may have spoken since. */
  private handleSent(): void {
    if (!this.isWelcome) {
      this.stop('its backend server takes no new work');
      return;
    }
    this.isSent = true;
    this.sentAt = this.options.clock.now();
  }

  private handleHead(head: AnswerHead): void {
    const {request, board, target, signals} = this.options;
    if (this.isEnded) {
      return;
    }
    const isOwn = head.isNotRun || head.requestId === request.id;
    if (isOwn && !head.isOtherIncarnation) {
      const {incarnation} = target;
      signals.recordHead({incarnation, head, sentAt: this.sentAt});
      this.recordTaken?.(!head.isNotRun && head.restMs === undefined);
    }
    // A head says nothing about progress: it may leave before any work begins.
    if (head.isOtherIncarnation) {
      board.drop(target.incarnation);
    }
    if (head.isNotRun || head.isOtherIncarnation) {
      this.head = head;
      return;
    }
    if (head.requestId !== request.id) {
      this.stop('the answer belongs to another request');
      return;
    }
    const isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && !head.isSealed) {
      this.stop('the backend server does not vouch for its answer');
      return;
    }
    this.head = head;
    this.options.onHead(head);
  }

  private handleData(chunk: Buffer): void {
    const {board, target, request, clock} = this.options;
    if (this.isEnded || !this.isAnswer) {
      return;
    }
    this.quietSince = clock.now();
    board.recordHeard(target.incarnation);
    if (!this.hasBytes) {
      this.hasBytes = true;
      board.recordFirst(target.incarnation, request.promptTokens);
    }
    this.options.onData(chunk);
  }

  private handleEnd(): void {
    if (this.isAnswer) {
      this.finish({kind: 'whole', reason: 'answered'});
      return;
    }
    const status = this.head?.status ?? 0;
    const reason = `refused with status ${status}`;
    this.finish({kind: 'not-run', reason});
  }

  private handleError(error: Error): void {
    const {board, target} = this.options;
    if (error.name === 'NeverSent') {
      board.recordUnreachable(target.incarnation);
      this.finish({kind: 'not-run', reason: 'no connection was made'});
      return;
    }
    if (this.head && !this.isAnswer) {
      this.finish({kind: 'not-run', reason: 'refused, then broken off'});
      return;
    }
    this.finish({
      kind: 'broken',
      reason: 'the connection broke',
      isConnectionLost: true,
    });
  }

  /** False for an answer that says that nothing ran. */
  private get isAnswer(): boolean {
    const {head} = this;
    return head !== undefined && !head.isNotRun && !head.isOtherIncarnation;
  }

  private finish(end: AttemptEnd): void {
    if (this.isEnded) {
      return;
    }
    this.isEnded = true;
    this.recordTaken?.(false);
    const {board, target, request} = this.options;
    if (!this.hasBytes) {
      board.recordFirst(target.incarnation, request.promptTokens);
    }
    board.recordEnd(target.incarnation);
    this.options.onEnd(end);
  }
}
