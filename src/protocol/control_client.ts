/** Finds the control leader and asks it. */
import {TransportSecurity} from '../transport/transport_security';
import {connectPeer} from './connect_peer';
import {ControlMessage} from './control_message';
import {Message} from './message';
import {MessageOf} from './message_of';
import {Peer} from './peer';
import {ProtocolError} from './protocol_error';

const DEFAULT_TIMEOUT_MS = 1_500;
/** After each control process was tried once. */
const ROUND_PAUSE_MS = 50;
/** A process that says no hello within this time is left for another: its machine may take connections while it stands still. */
const GREET_TIMEOUT_MS = 400;
/** Beyond it a process counts as standing still, however slow its link is. */
const LONGEST_GREET_MS = 2_000;

/** Answer types by the type of the call. */
interface Answers {
  'host-report': 'host-directive';
  'entry-report': 'entry-directive';
  'claim-ask': 'claim-answer';
  'claim-resolve': 'claim-resolved';
  'roll-out-ask': 'roll-out-answer';
  'status-ask': 'status-answer';
  'journal-ask': 'journal-answer';
  'drain-ask': 'drain-answer';
  'channel-bundle-ask': 'channel-bundle-answer';
  'source-ask': 'source-answer';
  'registration-ask': 'registration-answer';
  'departure-ask': 'registration-answer';
  'gateway-ask': 'gateway-answer';
}
type Ask = MessageOf<ControlMessage, keyof Answers>;
type WithoutCall<T> = T extends unknown ? Omit<T, 'call'> : never;

/** One control process that was tried, and what came of it. */
interface SearchTry {
  readonly address: string;
  readonly outcome: 'answered' | 'does not lead' | 'silent' | 'unreached';
  readonly tookMs: number;
}

/** How the leader was found, or not. */
interface LeaderSearch {
  readonly ask: keyof Answers;
  readonly tookMs: number;
  readonly isAnswered: boolean;
  readonly tries: readonly SearchTry[];
}

/** How to reach control and who asks. */
interface ControlClientOptions {
  /** Where control processes are; a function where they may change. */
  readonly addresses: readonly string[] | (() => readonly string[]);
  /** How long one control process may take to answer, in milliseconds. */
  readonly tryTimeoutMs?: number;
  readonly identity: Parameters<typeof Peer.create>[1];
  readonly security?: TransportSecurity;
  /** Told of each call that the first process tried did not answer. */
  readonly onSearched?: (search: LeaderSearch) => void;
}

/**
 * Asks the leader, trying every control process in turn and staying with the
 * one that answers. Where control processes are named by their addresses, one
 * that does not lead tells where the others are.
 */
export class ControlClient {
  private peer: Peer | undefined;
  private connecting: Promise<Peer> | undefined;
  private readonly pending = new Map<
    number,
    (answer: ControlMessage | undefined) => void
  >();
  private lastCall = 0;
  private nextAddress = 0;
  private lastAddress = '';
  /** Connections in a row that came to no hello. */
  private ungreeted = 0;
  private greetMs = GREET_TIMEOUT_MS;
  /** Addresses told by processes that do not lead. */
  private hints: readonly string[] = [];
  private isClosed = false;

  private constructor(private readonly options: ControlClientOptions) {}

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
  async ask<T extends keyof Answers>(
    ask: WithoutCall<MessageOf<ControlMessage, T>> & {type: T},
    timeoutMs = DEFAULT_TIMEOUT_MS,
  ): Promise<MessageOf<ControlMessage, Answers[T]>> {
    const startedAt = performance.now();
    const deadline = startedAt + timeoutMs;
    const search: SearchTry[] = [];
    const report = (isAnswered: boolean) => {
      if (search.length > 1 || !isAnswered) {
        const tookMs = Math.round(performance.now() - startedAt);
        const {type} = ask;
        this.options.onSearched?.({
          ask: type,
          tookMs,
          isAnswered,
          tries: search,
        });
      }
    };
    let lastError: Error | undefined;
    for (let tries = 1; performance.now() < deadline; tries += 1) {
      try {
        const answer = await this.askOnce(
          ask as WithoutCall<Ask>,
          deadline,
          search,
        );
        if (answer) {
          report(true);
          return answer as unknown as MessageOf<ControlMessage, Answers[T]>;
        }
      } catch (error) {
        lastError = error as Error;
      }
      if (this.isClosed) {
        break;
      }
      if (tries % this.addresses.length === 0) {
        await new Promise(resolve => setTimeout(resolve, ROUND_PAUSE_MS));
      }
    }
    report(false);
    const message = `no control leader answered at ${this.addresses.join(', ')}`;
    throw lastError
      ? new ProtocolError(lastError, message)
      : new ProtocolError(message);
  }

  /** Closes the connection and gives up what is pending. */
  close(): void {
    this.isClosed = true;
    if (this.peer) {
      this.dropPeer(this.peer);
    }
  }

  private get addresses(): readonly string[] {
    const {addresses} = this.options;
    const known = typeof addresses === 'function' ? addresses() : addresses;
    return [...new Set([...this.hints, ...known])];
  }

  /** Starts over with the likeliest when something new is told. */
  private followHints(hints: readonly string[]): void {
    if (hints.join() !== this.hints.join()) {
      this.hints = hints;
      this.nextAddress = 0;
    }
  }

  /** Asks one control process; undefined when it does not lead or does not answer. */
  private async askOnce(
    ask: WithoutCall<Ask>,
    deadline: number,
    search: SearchTry[],
  ): Promise<ControlMessage | undefined> {
    const triedAt = performance.now();
    const record = (outcome: SearchTry['outcome']) =>
      search.push({
        address: this.lastAddress,
        outcome,
        tookMs: Math.round(performance.now() - triedAt),
      });
    const peer = await this.getPeer().catch(error => {
      record('unreached');
      throw error;
    });
    const answer = await this.waitForAnswer(peer, ask, deadline);
    record(
      answer === undefined
        ? 'silent'
        : answer.type === 'not-leader'
          ? 'does not lead'
          : 'answered',
    );
    if (answer && answer.type !== 'not-leader') {
      return answer;
    }
    if (answer?.control) {
      this.followHints(answer.control);
    }
    this.dropPeer(peer);
    return undefined;
  }

  private waitForAnswer(
    peer: Peer,
    ask: WithoutCall<Ask>,
    deadline: number,
  ): Promise<ControlMessage | undefined> {
    const call = ++this.lastCall;
    return new Promise(resolve => {
      const finish = (answer: ControlMessage | undefined) => {
        clearTimeout(timer);
        this.pending.delete(call);
        resolve(answer);
      };
      const remaining = Math.max(0, deadline - performance.now());
      const timer = setTimeout(
        () => finish(undefined),
        Math.min(remaining, this.options.tryTimeoutMs ?? DEFAULT_TIMEOUT_MS),
      );
      this.pending.set(call, finish);
      peer.send({...ask, call} as Message);
    });
  }

  private getPeer(): Promise<Peer> {
    if (this.peer?.isOpen) {
      return Promise.resolve(this.peer);
    }
    this.connecting ??= this.connect().finally(
      () => (this.connecting = undefined),
    );
    return this.connecting;
  }

  private async connect(): Promise<Peer> {
    const {identity, security} = this.options;
    const {addresses} = this;
    const address = addresses[this.nextAddress++ % addresses.length];
    this.lastAddress = address;
    const peer = await connectPeer(
      address,
      identity,
      security,
      this.greetMs,
    ).catch(error => {
      this.recordUngreeted(addresses.length);
      throw error;
    });
    this.ungreeted = 0;
    this.greetMs = GREET_TIMEOUT_MS;
    void peer.messages.observe(message => this.receive(message));
    void peer.closed.then(() => this.dropPeer(peer));
    this.peer = peer;
    return peer;
  }

  /** A whole round in vain: the leader may be slow, or its link, so the next round has more patience. */
  private recordUngreeted(roundLength: number): void {
    this.ungreeted += 1;
    if (this.ungreeted % roundLength === 0) {
      this.greetMs = Math.min(this.greetMs * 2, LONGEST_GREET_MS);
    }
  }

  private receive(message: Message): void {
    if ('call' in message) {
      this.pending.get(message.call)?.(message);
    }
  }

  /** Goes to another control process; calls on this one are asked again there. */
  private dropPeer(peer: Peer): void {
    if (this.peer !== peer) {
      return;
    }
    this.peer = undefined;
    peer.close();
    for (const finish of [...this.pending.values()]) {
      finish(undefined);
    }
  }
}
