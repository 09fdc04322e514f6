/** A small TCP relay between two processes that can be cut, silently or not, in one way or both. */
import * as net from 'node:net';

type Way = 'forward' | 'back';

/** Passes bytes on until it is told otherwise. */
export class Relay {
  private readonly pairs = new Set<[net.Socket, net.Socket]>();
  private readonly silenced = new Set<Way>();
  private isBroken = false;

  private constructor(
    private readonly server: net.Server,
    private targetPort: number,
  ) {}

  /** Starts a relay to a port on this machine; 0 is set later with `aim`. */
  static async create(targetPort: number): Promise<Relay> {
    const server = net.createServer();
    const relay = new Relay(server, targetPort);
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
    this.pairs.forEach(pair => this.applyTo(pair));
  }

  /** Resets every connection and refuses new ones. */
  break(): void {
    this.isBroken = true;
    this.pairs.forEach(pair => pair.forEach(socket => socket.destroy()));
  }

  /** Lets everything pass again; held bytes arrive late. */
  heal(): void {
    this.isBroken = false;
    this.silenced.clear();
    this.pairs.forEach(pair => this.applyTo(pair));
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
    const far = net.connect(this.targetPort, '127.0.0.1');
    const pair: [net.Socket, net.Socket] = [near, far];
    this.pairs.add(pair);
    for (const [from, to] of [
      [near, far],
      [far, near],
    ]) {
      from.setNoDelay(true);
      from.on('data', data => to.write(data));
      from.on('error', () => undefined);
      from.on('close', () => {
        to.destroy();
        this.pairs.delete(pair);
      });
    }
    this.applyTo(pair);
  }

  private applyTo([near, far]: [net.Socket, net.Socket]): void {
    for (const [socket, way] of [
      [near, 'forward'],
      [far, 'back'],
    ] as const) {
      if (this.silenced.has(way)) {
        socket.pause();
      } else {
        socket.resume();
      }
    }
  }
}
