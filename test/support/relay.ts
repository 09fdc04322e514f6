/** A small TCP relay between two processes: it delays, resets, cuts or silences what passes. */
import * as net from 'node:net';
import {RelayPair} from './relay_pair';

type Way = 'forward' | 'back';

/** Passes bytes on until it is told otherwise. */
export class Relay {
  private readonly pairs = new Set<RelayPair>();
  private readonly silenced = new Set<Way>();
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

  aim(targetPort: number): void {
    this.targetPort = targetPort;
  }

  /** Keeps connections open but lets no byte pass in these ways. */
  silence(ways: readonly Way[]): void {
    ways.forEach(way => this.silenced.add(way));
    this.pairs.forEach(pair => pair.silence(this.silenced));
  }

  /** Open connections pass nothing any more, not even their end; new ones work. */
  silenceOpen(): void {
    this.pairs.forEach(pair => pair.silenceForGood());
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
  heal(): void {
    this.isBroken = false;
    this.delayMs = 0;
    this.silenced.clear();
    this.pairs.forEach(pair => pair.silence(this.silenced));
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
    pair.silence(this.silenced);
  }
}
