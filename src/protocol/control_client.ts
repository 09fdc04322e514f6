/** Finds the control leader and asks it. */
import {TlsCredentials} from '../transport/tls_credentials';
import {ControlCalls} from './control_calls';
import {ControlConnectionPool} from './control_connection_pool';
import {ControlMessage} from './control_message';
import {LeaderCall} from './leader_call';
import {LeaderFinder} from './leader_finder';
import {MessageOf} from './message_of';
import {Peer} from './peer';
import {ProtocolError} from './protocol_error';

const DEFAULT_TIMEOUT_MS = 1_500;

type Answers = ControlCalls['answers'];

/** How the leader was found, or not. */
interface SearchReport {
  readonly ask: ControlCalls['type'];
  readonly tookMs: number;
  readonly isAnswered: boolean;
  readonly tries: LeaderFinder['tries'];
}

/** How to reach control and who asks. */
interface ControlClientOptions {
  /** Where control processes are; a function where they may change. */
  readonly addresses: readonly string[] | (() => readonly string[]);
  /** How long the leader may take to answer before it is searched for anew beside it, in milliseconds. */
  readonly hedgeDelayMs?: number;
  readonly identity: Parameters<typeof Peer.create>[1];
  readonly security?: TlsCredentials;
  /** Told of each call that had to search, or found no leader. */
  readonly onSearched?: (search: SearchReport) => void;
}

/**
 * Asks the leader, staying with it while it answers. Where control processes are
 * named by their addresses, one that does not lead tells where the others are.
 */
export class ControlClient {
  private readonly lines: ControlConnectionPool;
  private readonly finder: LeaderFinder;
  private readonly calls = new Set<LeaderCall>();
  /** Addresses told by processes that do not lead. */
  private hints: readonly string[] = [];
  private isClosed = false;

  private constructor(private readonly options: ControlClientOptions) {
    const {identity, security} = options;
    this.lines = ControlConnectionPool.create({identity, security});
    this.finder = LeaderFinder.create({
      connections: this.lines,
      listAddresses: () => this.listAddresses(),
      onRedirect: hints => this.recordHints(hints),
    });
  }

  /**
   * Creates a client; it connects with the first call.
   *
   * @example
   * const client = ControlClient.create({addresses: ['127.0.0.1:7000'], identity});
   * const answer = await client.ask({type: 'status-ask'}, 2000);
   */
  static create(options: ControlClientOptions): ControlClient {
    return new ControlClient(options);
  }

  /**
   * Asks until the leader answers or the time runs out. The call may reach
   * control more than once, so every call is idempotent there.
   *
   * @param timeoutMs milliseconds in all
   * @throws ProtocolError when no leader answered in time
   */
  async ask<T extends ControlCalls['type']>(
    question: ControlCalls['request'] & {type: T},
    timeoutMs = DEFAULT_TIMEOUT_MS,
  ): Promise<MessageOf<ControlMessage, Answers[T]>> {
    if (this.isClosed) {
      throw new ProtocolError('this client is closed');
    }
    const startedAt = performance.now();
    const hadLeader = this.lines.leader !== undefined;
    const call = LeaderCall.create({
      request: question,
      connections: this.lines,
      finder: this.finder,
      timeoutMs,
      hedgeDelayMs: this.options.hedgeDelayMs ?? DEFAULT_TIMEOUT_MS,
      onRedirect: hints => this.recordHints(hints),
    });
    this.calls.add(call);
    let isAnswered = false;
    try {
      const answer = await call.run();
      isAnswered = true;
      return answer as MessageOf<ControlMessage, Answers[T]>;
    } finally {
      this.calls.delete(call);
      if (!hadLeader || !isAnswered) {
        this.report(question.type, isAnswered, startedAt);
      }
    }
  }

  /** Closes the connections and gives up what is pending. */
  close(): void {
    this.isClosed = true;
    this.calls.forEach(call => call.abandon('this client is closed'));
    this.finder.stop();
    this.lines.close();
  }

  /** Those that were told, then those that were always known. */
  private listAddresses(): readonly string[] {
    const {addresses} = this.options;
    const known = typeof addresses === 'function' ? addresses() : addresses;
    return [...new Set([...this.hints, ...known])];
  }

  private recordHints(hints: readonly string[]): void {
    if (hints.length > 0) {
      this.hints = hints;
    }
  }

  private report(
    ask: ControlCalls['type'],
    isAnswered: boolean,
    startedAt: number,
  ): void {
    const tookMs = Math.round(performance.now() - startedAt);
    const {tries} = this.finder;
    this.options.onSearched?.({ask, tookMs, isAnswered, tries});
  }
}
