/** The entry's connection to the first member of a group, and the attempts sent over it. */
import {Clock} from '../common/clock';
import {ServerAddress} from '../common/server_address';
import {connectPeer} from '../protocol/connect_peer';
import {Message} from '../protocol/message';
import {MessageOf} from '../protocol/message_of';
import {Peer} from '../protocol/peer';
import {RequestMessage} from '../protocol/request_message';
import {TlsCredentials} from '../transport/tls_credentials';
import {AttemptCallbacks} from './attempt_callbacks';

const TOMBSTONE_TIMEOUT_MS = 1_500;
const CREDIT_BYTES = 256 * 1024;

type TombstoneAnswer = MessageOf<RequestMessage, 'tombstone-answer'>;
type DispatchFields = Omit<
  MessageOf<RequestMessage, 'dispatch'>,
  'type' | 'stream' | 'startBy' | 'credit' | 'incarnation'
>;

interface OpenAttempt {
  readonly callbacks: AttemptCallbacks;
  nextSequence: number;
}

type Handlers = {
  [T in RequestMessage['type']]?: (
    message: MessageOf<RequestMessage, T>,
  ) => void;
};

/** What a connection needs. */
interface HostConnectionOptions {
  readonly address: ServerAddress;
  readonly identity: Parameters<typeof Peer.create>[1];
  readonly clock: Clock;
  readonly security?: TlsCredentials;
  readonly onClosed: () => void;
}

/** Sends dispatches to one host process and demultiplexes its frames by attempt. */
export class HostConnection {
  private readonly attempts = new Map<number, OpenAttempt>();
  private readonly tombstones = new Map<
    string,
    (answer: TombstoneAnswer | undefined) => void
  >();
  private lastStream = 0;
  /** The host's clock as last reported, and the local clock when that report arrived. */
  private hostClock:
    {readonly hostMs: number; readonly localMs: number} | undefined;
  private lastReportedCount = 0;

  private constructor(
    private readonly peer: Peer,
    private readonly options: HostConnectionOptions,
  ) {
    void peer.messages
      .observe(message => this.receive(message))
      .catch(() => peer.close());
    void peer.closed.then(() => this.handleClosed());
  }

  /**
   * Connects to a host process.
   *
   * @throws TransportError when the connection cannot be established
   * @example
   * const connection = await HostConnection.connect({address, identity, clock, onClosed});
   */
  static async connect(
    options: HostConnectionOptions,
  ): Promise<HostConnection> {
    const peer = await connectPeer(
      options.address,
      options.identity,
      options.security,
    );
    return new HostConnection(peer, options);
  }

  get isOpen(): boolean {
    return this.peer.isOpen;
  }

  /** Incarnation of the host process at the other end. */
  get incarnation(): string {
    return this.peer.remote.incarnation;
  }

  /** Attempts of this entry in flight on this connection. */
  get ownAttemptCount(): number {
    return this.attempts.size;
  }

  /** Attempts of all entries that run on the host, as it last reported. */
  get reportedAttemptCount(): number {
    return this.lastReportedCount;
  }

  /**
   * Sends one attempt to the host.
   *
   * @param startWithinMs milliseconds after which the host must refuse to start it
   * @returns a function that cancels the attempt
   */
  dispatch(
    fields: DispatchFields,
    startWithinMs: number,
    callbacks: AttemptCallbacks,
  ): () => void {
    const stream = ++this.lastStream;
    if (!this.peer.isOpen || !this.hostClock) {
      const reason = 'the host process is not connected';
      queueMicrotask(() => callbacks.onEnd({outcome: 'not-run', reason}));
      return () => undefined;
    }
    const {hostMs, localMs} = this.hostClock;
    const startBy =
      hostMs + (this.options.clock.now() - localMs) + startWithinMs;
    this.attempts.set(stream, {callbacks, nextSequence: 0});
    const incarnation = this.incarnation;
    this.peer.send({
      type: 'dispatch',
      ...fields,
      stream,
      startBy,
      incarnation,
      credit: CREDIT_BYTES,
    });
    return () => this.peer.send({type: 'cancel', stream});
  }

  /** Asks the host never to start an attempt that it has not started; undefined when no answer arrived. */
  askTombstone(attemptId: string): Promise<TombstoneAnswer | undefined> {
    return new Promise(resolve => {
      const finish = (answer: TombstoneAnswer | undefined) => {
        clearTimeout(timer);
        this.tombstones.delete(attemptId);
        resolve(answer);
      };
      const timer = setTimeout(() => finish(undefined), TOMBSTONE_TIMEOUT_MS);
      this.tombstones.set(attemptId, finish);
      this.peer.send({type: 'tombstone-ask', attemptId});
    });
  }

  close(): void {
    this.peer.close();
  }

  private readonly handlers: Handlers = {
    clock: ({now, running}) => {
      this.hostClock = {hostMs: now, localMs: this.options.clock.now()};
      this.lastReportedCount = running;
    },
    head: ({stream, status, headers}) => {
      this.attempts.get(stream)?.callbacks.onHead(status, headers);
    },
    data: message => this.receiveData(message),
    end: message => this.receiveEnd(message),
    refused: ({stream, reason, retryAfterMs}) => {
      this.finish(stream, {outcome: 'not-run', reason, retryAfterMs});
    },
    'tombstone-answer': answer =>
      this.tombstones.get(answer.attemptId)?.(answer),
  };

  private receive(message: Message): void {
    this.handlers[message.type as RequestMessage['type']]?.(message as never);
  }

  private receiveData({
    stream,
    sequence,
    bytes,
  }: MessageOf<RequestMessage, 'data'>): void {
    const attempt = this.attempts.get(stream);
    if (!attempt) {
      return;
    }
    if (sequence !== attempt.nextSequence) {
      this.peer.send({type: 'cancel', stream});
      const reason = `frame ${sequence} came where ${attempt.nextSequence} was due`;
      this.finish(stream, {outcome: 'failed', reason});
      return;
    }
    attempt.nextSequence += 1;
    attempt.callbacks.onData(bytes, () => {
      this.peer.send({type: 'credit', stream, bytes: bytes.length});
    });
  }

  private receiveEnd(message: MessageOf<RequestMessage, 'end'>): void {
    const {stream, frames, outcome, reason} = message;
    const attempt = this.attempts.get(stream);
    const isShort = attempt !== undefined && attempt.nextSequence !== frames;
    if (isShort && outcome === 'answered') {
      const detail = `${frames - attempt.nextSequence} frames are missing at the end`;
      this.finish(stream, {outcome: 'failed', reason: detail});
      return;
    }
    this.finish(stream, {outcome, reason});
  }

  private finish(
    stream: number,
    end: Parameters<AttemptCallbacks['onEnd']>[0],
  ): void {
    const attempt = this.attempts.get(stream);
    this.attempts.delete(stream);
    attempt?.callbacks.onEnd(end);
  }

  private handleClosed(): void {
    this.options.onClosed();
    const reason = 'the connection to the host process broke';
    for (const stream of [...this.attempts.keys()]) {
      this.finish(stream, {outcome: 'unknown', reason, isConnectionLost: true});
    }
    for (const finish of [...this.tombstones.values()]) {
      finish(undefined);
    }
  }
}
