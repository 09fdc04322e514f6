/** A small TCP relay between two processes: it delays, resets, cuts or silences what passes. */
import * as net from 'node:net';
import {RelayPair} from './relay_pair';

type Direction = 'forward' | 'back';

/** Passes bytes on until it is told otherwise. */
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

  /** Starts a relay to a port on this machine; 0 is set later with `aim`. */
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

  /** Keeps connections open but lets no byte pass in these ways. */
  pause(ways: readonly Direction[]): void {
    ways.forEach(way => this.pausedDirections.add(way));
    this.pairs.forEach(pair => pair.pause(this.pausedDirections));
  }

  /** Open connections pass nothing any more, not even their end; new ones work. */
  pauseOpenForever(): void {
    this.pairs.forEach(pair => pair.pauseForever());
  }

  /** Bytes read from now on arrive this much later, in milliseconds. */
  delay(ms: number): void {
    this.delayMs = ms;
  }

  /** Resets every connection; new ones work. */
  reset(): void {
    this.pairs.forEach(pair => pair.reset());
  }

  /** Ends every connection and refuses new ones. */
  break(): void {
    this.isBroken = true;
    this.pairs.forEach(pair => pair.destroy());
  }

  /** Lets everything pass again; held bytes arrive late. */
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
