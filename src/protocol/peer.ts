/** Connection to another process of the system that carries typed messages. */
import {Stream} from 'most';
import {PushSource} from '../common/push_source';
import {FrameConnection} from '../transport/frame_connection';
import {TransportError} from '../transport/transport_error';
import {HelloMessage} from './hello_message';
import {InvalidCallError} from './invalid_call_error';
import {Message} from './message';
import {messageCodec} from './message_codec';

const HELLO_TIMEOUT_MS = 2_000;

/** Identity of this process, sent to every peer. */
type Identity = Omit<HelloMessage, 'type' | 'protocol'>;

/** Sends and receives validated messages after a handshake, in which both sides send a hello. */
export class Peer {
  /** Buffers messages that arrive together with the hello, before the owner can subscribe. */
  private readonly received = PushSource.create<Message>({
    buffersUntilObserved: true,
  });
  /** Messages after the handshake; `invalid-call` in place of a call or an answer that does not match its schema. */
  readonly messages: Stream<Message> = this.received.stream;
  /** Resolves when the connection is closed, with the error if it failed. */
  readonly closed: Promise<TransportError | undefined>;
  private remoteHello: HelloMessage | undefined;

  private constructor(private readonly connection: FrameConnection) {
    this.closed = connection.closed;
  }

  /**
   * Sends the hello and waits for the peer's.
   *
   * @throws TransportError when no valid hello arrives in time
   * @example
   * const peer = await Peer.create(connection, {program: 'entry', id: 'e1', incarnation});
   */
  static create(
    connection: FrameConnection,
    identity: Identity,
    helloTimeoutMs = HELLO_TIMEOUT_MS,
  ): Promise<Peer> {
    const peer = new Peer(connection);
    peer.send({type: 'hello', protocol: 1, ...identity});
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        connection.close(new TransportError('no hello in time'));
      }, helloTimeoutMs);
      void connection.closed.then(failure => {
        clearTimeout(timer);
        peer.received.end();
        reject(failure ?? new TransportError('closed before its hello'));
      });
      const completeHandshake = () => {
        clearTimeout(timer);
        resolve(peer);
      };
      void connection.frames.observe(frame =>
        peer.receive(frame, completeHandshake),
      );
    });
  }

  /** The hello of the peer. */
  get remote(): HelloMessage {
    if (!this.remoteHello) {
      throw new TransportError('the handshake with the peer is not complete');
    }
    return this.remoteHello;
  }

  /** True while messages can still be sent. */
  get isOpen(): boolean {
    return this.connection.isOpen;
  }

  /** Sends one message; drops it silently when the connection is closed. */
  send(message: Message): void {
    if (this.connection.isOpen) {
      this.connection.send(messageCodec.encode(message));
    }
  }

  /** Closes at once. */
  close(): void {
    this.connection.close();
  }

  /** Closes after the queued messages have been sent. */
  end(): void {
    this.connection.end();
  }

  private receive(frame: Buffer, onHello: () => void): void {
    let message: Message;
    try {
      message = messageCodec.decode(frame);
    } catch (error) {
      this.handleInvalid(error as Error);
      return;
    }
    if (this.remoteHello) {
      this.received.push(message);
      return;
    }
    if (message.type !== 'hello') {
      this.connection.close(
        new TransportError('the peer did not say hello first'),
      );
      return;
    }
    this.remoteHello = message;
    onHello();
  }
  /** An invalid call costs only itself: other calls of the same connection are correct. */
  private handleInvalid(error: Error): void {
    if (error instanceof InvalidCallError && this.remoteHello) {
      const {call, message: reason} = error;
      this.received.push({type: 'invalid-call', call, reason});
      return;
    }
    this.connection.close(
      new TransportError(error, 'the peer broke the protocol'),
    );
  }
}
