/** A TCP or TLS connection that carries length-prefixed frames in both directions. */
import * as net from 'node:net';
import * as tls from 'node:tls';
import {Stream} from 'most';
import {PushSource} from '../common/push_source';
import {ServerAddress} from '../common/server_address';
import {FrameSplitter} from './frame_splitter';
import {TransportError} from './transport_error';
import {TlsCredentials} from './tls_credentials';

const LENGTH_BYTES = 4;
/** A bundle may be as large as an HTTP body, and is sent twice: as source text and as encoded rules. */
const DEFAULT_MAX_FRAME_BYTES = 32 * 1024 * 1024;
const DEFAULT_MAX_UNSENT_BYTES = 64 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 1_000;

/** Where and how to connect. */
interface ConnectOptions {
  readonly address: ServerAddress;
  readonly security?: TlsCredentials;
  readonly timeoutMs?: number;
}

/** Sends and receives frames over one socket, with limits on frame size and unsent bytes. */
export class FrameConnection {
  private readonly received = PushSource.create<Buffer>();
  /** Received frames. Subscribe in the same tick in which the connection is created, or frames are lost. */
  readonly frames: Stream<Buffer> = this.received.stream;
  /** Resolves when the connection is closed, with the error if it failed. */
  readonly closed: Promise<TransportError | undefined>;
  private isCorked = false;
  private failure: TransportError | undefined;

  private constructor(
    private readonly socket: net.Socket,
    private readonly maxFrameBytes: number,
  ) {
    socket.setNoDelay(true);
    const splitter = FrameSplitter.create(maxFrameBytes);
    socket.on('data', chunk => this.receive(splitter, chunk));
    socket.on('error', error => {
      this.failure ??= new TransportError(error, 'connection failed');
    });
    this.closed = new Promise(resolve => {
      socket.on('close', () => {
        this.received.end();
        resolve(this.failure);
      });
    });
  }

  /** Wraps a socket that is already connected. */
  static create(
    socket: net.Socket,
    maxFrameBytes = DEFAULT_MAX_FRAME_BYTES,
  ): FrameConnection {
    return new FrameConnection(socket, maxFrameBytes);
  }

  /**
   * Connects to a listening process.
   *
   * @throws TransportError when the connection fails or takes over a second
   * @example
   * const connection = await FrameConnection.connect({address: ServerAddress.parse('127.0.0.1:7000')});
   */
  static connect(options: ConnectOptions): Promise<FrameConnection> {
    return new Promise((resolve, reject) => {
      const socket = openSocket(options);
      const fail = (error?: Error) => {
        socket.destroy();
        const message = `cannot connect to ${options.address}`;
        reject(
          error
            ? new TransportError(error, message)
            : new TransportError(message),
        );
      };
      const timer = setTimeout(
        () => fail(new Error('timeout')),
        Math.min(CONNECT_TIMEOUT_MS, options.timeoutMs ?? CONNECT_TIMEOUT_MS),
      );
      socket.once('error', fail);
      socket.once(options.security ? 'secureConnect' : 'connect', () => {
        clearTimeout(timer);
        socket.off('error', fail);
        resolve(FrameConnection.create(socket));
      });
    });
  }

  /** True while frames can still be sent. */
  get isOpen(): boolean {
    return !this.socket.destroyed && this.socket.writable;
  }

  /**
   * Queues one frame; frames of one event loop tick are sent in one write.
   *
   * @throws TransportError when the frame exceeds the size limit
   */
  send(payload: Uint8Array): void {
    if (!this.isOpen) {
      return;
    }
    if (payload.length > this.maxFrameBytes) {
      throw new TransportError(
        'refusing to send a frame of %d bytes',
        payload.length,
      );
    }
    if (this.socket.writableLength > DEFAULT_MAX_UNSENT_BYTES) {
      this.close(
        new TransportError('the peer does not read: too many unsent bytes'),
      );
      return;
    }
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
    frame.writeUInt32BE(payload.length, 0);
    frame.set(payload, LENGTH_BYTES);
    this.scheduleFlush();
    this.socket.write(frame);
  }

  /** Closes at once; `closed` resolves to the failure, if one is given. */
  close(failure?: TransportError): void {
    this.failure ??= failure;
    this.socket.destroy();
  }

  /** Closes after the queued frames have been sent. */
  end(): void {
    this.socket.end();
    this.socket.resume();
  }

  private scheduleFlush(): void {
    if (this.isCorked) {
      return;
    }
    this.isCorked = true;
    this.socket.cork();
    process.nextTick(() => {
      this.isCorked = false;
      this.socket.uncork();
    });
  }

  private receive(splitter: FrameSplitter, chunk: Buffer): void {
    let frames: Buffer[];
    try {
      frames = splitter.split(chunk);
    } catch (error) {
      this.close(
        new TransportError(error as Error, 'the peer broke the framing'),
      );
      return;
    }
    for (const frame of frames) {
      // The receiver of a frame may have closed the connection, for a breach of the protocol.
      if (this.socket.destroyed) {
        return;
      }
      this.received.push(frame);
    }
  }
}

function openSocket(options: ConnectOptions): net.Socket {
  const {address, security} = options;
  const {host, port} = address;
  if (!security) {
    return net.connect({host, port});
  }
  return tls.connect({
    host,
    port,
    ca: security.authority,
    cert: security.certificate,
    key: security.key,
    minVersion: 'TLSv1.3',
    // A process is authenticated by the authority that signed its certificate, not by host name.
    checkServerIdentity: () => undefined,
  });
}
