/** A connection to one control process, and the calls that wait for its answers. */
import {TlsCredentials} from '../transport/tls_credentials';
import {connectPeer} from './connect_peer';
import {ControlCalls} from './control_calls';
import {ControlMessage} from './control_message';
import {Message} from './message';
import {Peer} from './peer';

/** How to connect. */
interface ControlLineOptions {
  readonly address: string;
  readonly identity: Parameters<typeof Peer.create>[1];
  readonly security?: TlsCredentials;
}

/** Connects at once; calls wait until the other side has greeted. */
export class ControlConnection {
  /** Settles when the other side has greeted; rejects when it cannot be reached. */
  readonly ready: Promise<unknown>;
  /** Searches that use this line now. */
  refCount = 0;
  private peer: Peer | undefined;
  private lastCall = 0;
  private isClosed = false;
  private readonly pending = new Map<
    number,
    (answer: ControlMessage | undefined) => void
  >();

  private constructor(private readonly options: ControlLineOptions) {
    const {address, identity, security} = options;
    this.ready = connectPeer(address, identity, security).then(
      peer => this.follow(peer),
      error => {
        this.close();
        throw error;
      },
    );
    // Whoever waits hears of the failure; nobody may wait any more.
    this.ready.catch(() => undefined);
  }

  /**
   * Starts connecting.
   *
   * @example
   * const line = ControlLine.create({address: '127.0.0.1:7000', identity});
   * await line.greeted;
   * const answer = await line.ask({type: 'status-ask'});
   */
  static create(options: ControlLineOptions): ControlConnection {
    return new ControlConnection(options);
  }

  get address(): string {
    return this.options.address;
  }

  /** False once the connection is gone. */
  get isUsable(): boolean {
    return !this.isClosed;
  }

  /** Asks over a greeted connection; undefined when the connection ends first. */
  call(question: ControlCalls['request']): Promise<ControlMessage | undefined> {
    const {peer} = this;
    if (!peer || this.isClosed) {
      return Promise.resolve(undefined);
    }
    const call = ++this.lastCall;
    return new Promise(resolve => {
      this.pending.set(call, resolve);
      peer.send({...question, call} as Message);
    });
  }

  /** Ends the connection and every call that waits. */
  close(): void {
    this.isClosed = true;
    this.peer?.close();
    const waiting = [...this.pending.values()];
    this.pending.clear();
    waiting.forEach(finish => finish(undefined));
  }

  private follow(peer: Peer): void {
    this.peer = peer;
    if (this.isClosed) {
      peer.close();
      return;
    }
    void peer.messages.observe(message => this.receive(message));
    void peer.closed.then(() => this.close());
  }

  private receive(message: Message): void {
    if ('call' in message) {
      const finish = this.pending.get(message.call);
      this.pending.delete(message.call);
      finish?.(message as ControlMessage);
    }
  }
}
