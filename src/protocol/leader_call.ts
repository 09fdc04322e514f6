/** A single call to the control leader, retried and hedged until a leader answers. */
import {ControlCalls} from './control_calls';
import {ControlConnection} from './control_connection';
import {ControlConnectionPool} from './control_connection_pool';
import {ControlMessage} from './control_message';
import {LeaderFinder} from './leader_finder';
import {ProtocolError} from './protocol_error';

/** Delay before a call that the process did not carry out is sent again. */
const RETRY_DELAY_MS = 50;

/** The request, its deadline and the collaborators of the call. */
interface LeaderCallOptions {
  readonly request: ControlCalls['request'];
  readonly connections: ControlConnectionPool;
  readonly finder: LeaderFinder;
  readonly timeoutMs: number;
  /** Time without an answer after which the leader is searched for again, in parallel to the pending request. */
  readonly hedgeDelayMs: number;
  /** Receives the control addresses that a follower reports. */
  readonly onRedirect: (addresses: readonly string[]) => void;
}

/** Sends one request to the leader; `run` is called once. */
export class LeaderCall {
  private readonly acquired: ControlConnection[] = [];
  private readonly timers = new Set<NodeJS.Timeout>();
  private cancelWait: () => void = () => undefined;
  private isSettled = false;
  private resolve: (answer: ControlMessage) => void = () => undefined;
  private reject: (error: Error) => void = () => undefined;

  private constructor(private readonly options: LeaderCallOptions) {}

  /**
   * Creates a call without sending it.
   *
   * @example
   * const call = LeaderCall.create({request, connections, finder, timeoutMs: 900, hedgeDelayMs: 400, onRedirect});
   * const answer = await call.run();
   */
  static create(options: LeaderCallOptions): LeaderCall {
    return new LeaderCall(options);
  }

  /**
   * Sends the request until a process answers it as leader.
   *
   * @throws ProtocolError when none did in time
   */
  async run(): Promise<ControlMessage> {
    const answered = new Promise<ControlMessage>((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
    });
    this.schedule(this.options.timeoutMs, () =>
      this.abandon('no control leader answered in time'),
    );
    this.sendToLeader();
    try {
      return await answered;
    } finally {
      this.isSettled = true;
      this.cancelWait();
      this.timers.forEach(timer => clearTimeout(timer));
      this.acquired.forEach(connection =>
        this.options.connections.release(connection),
      );
    }
  }

  /** Fails the call and evicts its connections, which may be dead without being closed, so that the next call opens others. */
  abandon(reason: string): void {
    const {connections, finder} = this.options;
    const {lastError} = finder;
    this.acquired.forEach(connection => connections.evict(connection));
    this.reject(
      lastError
        ? new ProtocolError(lastError, reason)
        : new ProtocolError(reason),
    );
  }

  private sendToLeader(): void {
    const {connections, finder} = this.options;
    if (this.isSettled) {
      return;
    }
    const {leader} = connections;
    if (leader) {
      void this.send(leader);
      return;
    }
    this.cancelWait();
    this.cancelWait = finder.wait(connection => void this.send(connection));
  }

  private async send(connection: ControlConnection): Promise<void> {
    const {connections, request, hedgeDelayMs, onRedirect} = this.options;
    connections.retain(connection);
    this.acquired.push(connection);
    const timer = this.schedule(hedgeDelayMs, () => {
      // The leader may be slow, or its connection dead without being closed.
      connections.evict(connection);
      this.sendToLeader();
    });
    const answer = await connection.call(request);
    const isSlow = !this.timers.has(timer);
    clearTimeout(timer);
    if (this.isSettled) {
      return;
    }
    if (answer?.type === 'invalid-call') {
      // No other process would decode it either.
      this.reject(new ProtocolError('%s', answer.reason));
      return;
    }
    if (answer && answer.type !== 'not-leader') {
      this.resolve(answer);
      return;
    }
    connections.clearLeader(connection);
    onRedirect(answer?.control ?? []);
    if (!isSlow) {
      this.schedule(RETRY_DELAY_MS, () => this.sendToLeader());
    }
  }

  private schedule(afterMs: number, action: () => void): NodeJS.Timeout {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, afterMs);
    this.timers.add(timer);
    return timer;
  }
}
