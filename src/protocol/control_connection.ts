/** A connection to one control process that matches answers to the pending calls. */
import {ServerAddress} from '../common/server_address';
import {TlsCredentials} from '../transport/tls_credentials';
import {connectPeer} from './connect_peer';
import {ControlCalls} from './control_calls';
import {ControlMessage} from './control_message';
import {Message} from './message';
import {Peer} from './peer';

/** Where to connect and as whom. */
interface ControlConnectionOptions {
  readonly address: ServerAddress;
  readonly identity: Parameters<typeof Peer.create>[1];
  readonly security?: TlsCredentials;
}

/** Connects on creation; calls can be sent once `ready` has settled. */
export class ControlConnection {
  /** Resolves after the handshake; rejects when the process cannot be reached. */
  readonly ready: Promise<unknown>;
  /** Number of calls and searches that use this connection; the pool closes it at 0. */
  refCount = 0;
  private peer: Peer | undefined;
  private lastCallId = 0;
  private isClosed = false;
  private readonly pending = new Map<
    number,
    (answer: ControlMessage | undefined) => void
  >();

  private constructor(private readonly options: ControlConnectionOptions) {
    const {address, identity, security} = options;
    this.ready = connectPeer(address, identity, security).then(
      peer => this.handleConnected(peer),
      error => {
        this.close();
        throw error;
      },
    );
    // Callers that await `ready` see the error; without one it would be an unhandled rejection.
    this.ready.catch(() => undefined);
  }

  /**
   * Starts connecting.
   *
   * @example
   * const connection = ControlConnection.create({address: ServerAddress.parse('127.0.0.1:7000'), identity});
   * await connection.ready;
   * const answer = await connection.call({type: 'status-ask'});
   */
  static create(options: ControlConnectionOptions): ControlConnection {
    return new ControlConnection(options);
  }

  get address(): ServerAddress {
    return this.options.address;
  }

  /** False once the connection is closed. */
  get isUsable(): boolean {
    return !this.isClosed;
  }

  /**
   * Sends a call after the handshake; resolves to undefined when the connection closes
   * first, and to `invalid-call` when the call or its answer is invalid or too long.
   */
  call(request: ControlCalls['request']): Promise<ControlMessage | undefined> {
    const {peer} = this;
    if (!peer || this.isClosed) {
      return Promise.resolve(undefined);
    }
    const callId = ++this.lastCallId;
    return new Promise(resolve => {
      this.pending.set(callId, resolve);
      try {
        peer.send({...request, call: callId} as Message);
      } catch (error) {
        this.pending.delete(callId);
        const {message: reason} = error as Error;
        resolve({type: 'invalid-call', call: callId, reason});
      }
    });
  }

  /** Closes the connection and resolves every pending call to undefined. */
  close(): void {
    this.isClosed = true;
    this.peer?.close();
    const resolvers = [...this.pending.values()];
    this.pending.clear();
    resolvers.forEach(resolve => resolve(undefined));
  }

  private handleConnected(peer: Peer): void {
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
      const resolve = this.pending.get(message.call);
      this.pending.delete(message.call);
      resolve?.(message as ControlMessage);
    }
  }
}
