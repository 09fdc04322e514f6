/** A connection to another of the system's processes that speaks typed messages. */
import {Stream} from 'most';
import {PushSource} from '../common/push_source';
import {FrameConnection} from '../transport/frame_connection';
import {TransportError} from '../transport/transport_error';
import {HelloMessage} from './hello_message';
import {Message} from './message';
import {messageCodec} from './message_codec';

const HELLO_TIMEOUT_MS = 2_000;

/** Who this process is, as it tells every peer. */
type Identity = Omit<HelloMessage, 'type' | 'protocol'>;

/** Sends and receives checked messages; both sides say hello first. */
export class Peer {
  /** Frames may arrive together with the hello, before the owner could listen. */
  private readonly received = PushSource.create<Message>({
    keepsUntilObserved: true,
  });
  /** Messages after the hello. */
  readonly messages: Stream<Message> = this.received.stream;
  /** Settles once, when the connection is gone. */
  readonly closed: Promise<TransportError | undefined>;
  private remoteHello: HelloMessage | undefined;

  private constructor(private readonly connection: FrameConnection) {
    this.closed = connection.closed;
  }

  /**
   * Greets the other side and waits for its hello.
   *
   * @throws TransportError when the other side says nothing sensible in time
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
      const greet = () => {
        clearTimeout(timer);
        resolve(peer);
      };
      void connection.frames.observe(frame => peer.receive(frame, greet));
    });
  }

  /** What the other side said about itself. */
  get remote(): HelloMessage {
    if (!this.remoteHello) {
      throw new TransportError('the peer has not said hello');
    }
    return this.remoteHello;
  }

  /** True while messages can still be sent. */
  get isOpen(): boolean {
    return this.connection.isOpen;
  }

  /** Sends one message; silently dropped when the connection is gone. */
  send(message: Message): void {
    if (this.connection.isOpen) {
      this.connection.send(messageCodec.encode(message));
    }
  }

  /** Closes at once. */
  close(): void {
    this.connection.close();
  }

  /** Closes after what was sent has left. */
  end(): void {
    this.connection.end();
  }

  private receive(frame: Buffer, greet: () => void): void {
    let message: Message;
    try {
      message = messageCodec.decode(frame);
    } catch (error) {
      this.connection.close(
        new TransportError(error as Error, 'the peer broke the protocol'),
      );
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
    greet();
  }
}
