/** A TCP relay between two processes that injects delays, resets, refused connections and stalls. */
import * as net from 'node:net';
import {RelayPair} from './relay_pair';

type Direction = 'forward' | 'back';

/** Forwards bytes unless a fault is injected. */
export class Relay {
  private readonly pairs = new Set<RelayPair>();
  private readonly pausedDirections = new Set<Direction>();
  private isBroken = false;
  private delayMs = 0;

  private constructor(
    private readonly server: net.Server,
    private targetPort: number,
    private readonly targetHost: string,
  ) {}

  /** Starts a relay to a port; a target port of 0 is set later with `setTarget`. */
  static async create(
    targetPort: number,
    targetHost = '127.0.0.1',
  ): Promise<Relay> {
    const server = net.createServer();
    const relay = new Relay(server, targetPort, targetHost);
    server.on('connection', socket => relay.accept(socket));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    return relay;
  }

  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  setTarget(targetPort: number): void {
    this.targetPort = targetPort;
  }

  /** Stops forwarding in these directions, with connections kept open. */
  pause(directions: readonly Direction[]): void {
    directions.forEach(direction => this.pausedDirections.add(direction));
    this.pairs.forEach(pair => pair.pause(this.pausedDirections));
  }

  /** Stops forwarding on open connections for good, including their end; new connections work. */
  pauseOpenForever(): void {
    this.pairs.forEach(pair => pair.pauseForever());
  }

  /** Delays bytes read from now on, by this many milliseconds. */
  delay(ms: number): void {
    this.delayMs = ms;
  }

  /** Resets every open connection; new connections work. */
  reset(): void {
    this.pairs.forEach(pair => pair.reset());
  }

  /** Closes every connection and refuses new ones. */
  break(): void {
    this.isBroken = true;
    this.pairs.forEach(pair => pair.destroy());
  }

  /** Removes all faults, but not from connections paused for good; bytes held back are forwarded now. */
  restore(): void {
    this.isBroken = false;
    this.delayMs = 0;
    this.pausedDirections.clear();
    this.pairs.forEach(pair => pair.pause(this.pausedDirections));
  }

  close(): void {
    this.break();
    this.server.close();
  }

  private accept(near: net.Socket): void {
    if (this.isBroken) {
      near.destroy();
      return;
    }
    const far = net.connect(this.targetPort, this.targetHost);
    const pair = RelayPair.create(
      near,
      far,
      () => this.delayMs,
      () => this.pairs.delete(pair),
    );
    this.pairs.add(pair);
    pair.pause(this.pausedDirections);
  }
}
