/** One call: goes to whoever leads, and to the next one that does, until somebody answers. */
import {ControlCalls} from './control_calls';
import {ControlConnection} from './control_connection';
import {ControlConnectionPool} from './control_connection_pool';
import {ControlMessage} from './control_message';
import {LeaderFinder} from './leader_finder';
import {ProtocolError} from './protocol_error';

/** Before a leader that did not carry a call out is asked again. */
const AGAIN_AFTER_MS = 50;

/** What a call works with. */
interface LeaderCallOptions {
  readonly request: ControlCalls['request'];
  readonly connections: ControlConnectionPool;
  readonly finder: LeaderFinder;
  readonly timeoutMs: number;
  /** How long the leader may take to answer before it is searched for anew, beside it. */
  readonly hedgeDelayMs: number;
  /** Told where control is by a process that does not lead. */
  readonly onRedirect: (addresses: readonly string[]) => void;
}

/** Runs once. */
export class LeaderCall {
  private readonly taken: ControlConnection[] = [];
  private readonly timers = new Set<NodeJS.Timeout>();
  private endWait: () => void = () => undefined;
  private isOver = false;
  private finish: (answer: ControlMessage) => void = () => undefined;
  private fail: (error: Error) => void = () => undefined;

  private constructor(private readonly options: LeaderCallOptions) {}

  /**
   * Creates a call that has asked nobody.
   *
   * @example
   * const call = LeaderCall.create({question, lines, finder, timeoutMs: 900, besideMs: 400, onTold});
   * const answer = await call.run();
   */
  static create(options: LeaderCallOptions): LeaderCall {
    return new LeaderCall(options);
  }

  /**
   * Asks until somebody answers as leader.
   *
   * @throws ProtocolError when nobody did in time
   */
  async run(): Promise<ControlMessage> {
    const answered = new Promise<ControlMessage>((resolve, reject) => {
      this.finish = resolve;
      this.fail = reject;
    });
    this.schedule(this.options.timeoutMs, () =>
      this.abandon('no control leader answered in time'),
    );
    this.askLeader();
    try {
      return await answered;
    } finally {
      this.isOver = true;
      this.endWait();
      this.timers.forEach(timer => clearTimeout(timer));
      this.taken.forEach(line => this.options.connections.release(line));
    }
  }

  /** Ends without an answer; the next call asks over other connections, as these may be silent for good. */
  abandon(reason: string): void {
    const {connections: lines, finder} = this.options;
    const {lastError} = finder;
    this.taken.forEach(line => lines.evict(line));
    this.fail(
      lastError
        ? new ProtocolError(lastError, reason)
        : new ProtocolError(reason),
    );
  }

  private askLeader(): void {
    const {connections: lines, finder} = this.options;
    if (this.isOver) {
      return;
    }
    const {leader} = lines;
    if (leader) {
      void this.ask(leader);
      return;
    }
    this.endWait();
    this.endWait = finder.wait(line => void this.ask(line));
  }

  private async ask(line: ControlConnection): Promise<void> {
    const {
      connections: lines,
      request: question,
      hedgeDelayMs: besideMs,
      onRedirect: onTold,
    } = this.options;
    lines.retain(line);
    this.taken.push(line);
    const timer = this.schedule(besideMs, () => {
      // It may be slow, or its connection silent for good.
      lines.evict(line);
      this.askLeader();
    });
    const answer = await line.call(question);
    const isSlow = !this.timers.has(timer);
    clearTimeout(timer);
    if (this.isOver) {
      return;
    }
    if (answer && answer.type !== 'not-leader') {
      this.finish(answer);
      return;
    }
    lines.clearLeader(line);
    onTold(answer?.control ?? []);
    if (!isSlow) {
      this.schedule(AGAIN_AFTER_MS, () => this.askLeader());
    }
  }

  private schedule(afterMs: number, act: () => void): NodeJS.Timeout {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      act();
    }, afterMs);
    this.timers.add(timer);
    return timer;
  }
}
