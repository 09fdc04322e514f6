/** Tells whether the process that sends a response still runs when the response has ended. */
import * as net from 'node:net';
import {ServerAddress} from '../common/server_address';
import {probeListener} from './probe_listener';

/** A refusal takes one round trip; a longer silence tells nothing about the process. */
const CONNECT_TIMEOUT_MS = 300;
/** A process that ends closes its connections one after the other; this one may be the last. */
const SETTLE_MS = 50;
/** A server without room for a connection closes it at once. */
const NO_ROOM_MS = 10;

type ServerState = Awaited<ReturnType<typeof probeListener>>;
type WitnessState = ServerState | 'connecting' | 'no-room';

const FAILURES: Readonly<Record<string, WitnessState | undefined>> = {
  ECONNREFUSED: 'refuses',
  // Also reported for a connection that was accepted and reset before this process saw it.
  ECONNRESET: 'no-room',
};

/**
 * A connection without a request, opened while a response arrives. When the process ends,
 * the kernel closes it with all others, however late the end is read and whoever listens
 * at the address by then.
 */
export class ServerWitness {
  private state: WitnessState = 'connecting';
  private connectedAt = 0;
  private readonly socket: net.Socket;
  private readonly connected: Promise<void>;

  private constructor(private readonly address: ServerAddress) {
    const {host, port} = address;
    this.socket = net.connect({host, port});
    this.socket.resume();
    this.connected = new Promise(resolve => this.watch(resolve));
  }

  /**
   * Opens the connection.
   *
   * @example
   * const witness = ServerWitness.create(ServerAddress.parse('10.0.0.4:8080'));
   * const state = await witness.check();
   */
  static create(address: ServerAddress): ServerWitness {
    return new ServerWitness(address);
  }

  /** False once the server has closed the connection, or refused it. */
  get isOpen(): boolean {
    return this.state === 'connecting' || this.state === 'listens';
  }

  /** Finds out whether the process to which it connected still runs; `refuses` if it has ended. */
  async check(): Promise<ServerState> {
    await this.connected;
    if (this.state === 'listens') {
      await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    }
    const {state} = this;
    const isUnknown = state === 'no-room' || state === 'connecting';
    return isUnknown ? probeListener(this.address) : state;
  }

  /** Closes the connection. */
  close(): void {
    this.socket.removeAllListeners('close').destroy();
  }

  private watch(onSettled: () => void): void {
    const {socket} = this;
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    let failure: WitnessState = 'silent';
    socket.once('connect', () => {
      clearTimeout(timer);
      this.state = 'listens';
      this.connectedAt = performance.now();
      onSettled();
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      failure = FAILURES[error.code ?? ''] ?? 'silent';
    });
    socket.once('close', () => {
      clearTimeout(timer);
      this.state = this.state === 'listens' ? this.findCloseState() : failure;
      onSettled();
    });
  }

  private findCloseState(): WitnessState {
    const openMs = performance.now() - this.connectedAt;
    return openMs < NO_ROOM_MS ? 'no-room' : 'refuses';
  }
}
