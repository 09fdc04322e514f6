/** One TCP connection that carries length-prefixed frames both ways. */
import * as net from 'node:net';
import * as tls from 'node:tls';
import {Stream} from 'most';
import {PushSource} from '../common/push_source';
import {FrameSplitter} from './frame_splitter';
import {TransportError} from './transport_error';
import {TlsCredentials} from './tls_credentials';

const LENGTH_BYTES = 4;
/** A bundle may be as large as a body may, and travels as text and as rules. */
const DEFAULT_MAX_FRAME_BYTES = 32 * 1024 * 1024;
const DEFAULT_MAX_UNSENT_BYTES = 64 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 1_000;

/** Where and how to connect. */
interface ConnectOptions {
  readonly host: string;
  readonly port: number;
  readonly security?: TlsCredentials;
  readonly timeoutMs?: number;
}

/** Sends and receives frames over one socket. */
export class FrameConnection {
  private readonly received = PushSource.create<Buffer>();
  /** Frames as they arrive. Subscribe in the same turn as the connection is made. */
  readonly frames: Stream<Buffer> = this.received.stream;
  /** Settles once, when the connection is gone; tells why when it failed. */
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
   * @throws TransportError when nobody answers within a second
   * @example
   * const connection = await FrameConnection.connect({host: '127.0.0.1', port: 7000});
   */
  static connect(options: ConnectOptions): Promise<FrameConnection> {
    const target = `${options.host}:${options.port}`;
    return new Promise((resolve, reject) => {
      const socket = openSocket(options);
      const fail = (error?: Error) => {
        socket.destroy();
        const message = `cannot connect to ${target}`;
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
   * Queues one frame; frames of one turn of the loop leave in one write.
   *
   * @throws TransportError when the frame is over the limit
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

  /** Closes at once; `closed` tells the failure when one is given. */
  close(failure?: TransportError): void {
    this.failure ??= failure;
    this.socket.destroy();
  }

  /** Closes after what was sent has left. */
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
      this.received.push(frame);
    }
  }
}

function openSocket(options: ConnectOptions): net.Socket {
  const {host, port, security} = options;
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
    // Processes are named by the authority that signed them, not by address.
    checkServerIdentity: () => undefined,
  });
}
