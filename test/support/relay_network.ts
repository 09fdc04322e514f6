/** The relays of one test fleet, by who connects and to whom. */
import {Relay} from './relay';

/** Gives out a relay for each pair that a scenario may cut. */
export class RelayNetwork {
  private readonly relays = new Map<string, Relay>();

  private constructor() {}

  static create(): RelayNetwork {
    return new RelayNetwork();
  }

  /** The port on which `from` reaches `to`; `*` stands for everybody. */
  async open(
    from: string,
    to: string,
    targetPort: number,
    targetHost?: string,
  ): Promise<number> {
    const name = createName(from, to);
    const known = this.relays.get(name);
    if (known) {
      known.setTarget(targetPort);
      return known.port;
    }
    const relay = await Relay.create(targetPort, targetHost);
    this.relays.set(name, relay);
    return relay.port;
  }

  /** Points an open relay to another port. */
  aim(from: string, to: string, targetPort: number): void {
    this.relays.get(createName(from, to))?.setTarget(targetPort);
  }

  /** Every relay whose ends fit; `*` fits all. */
  select(from: string, to: string): Relay[] {
    const fits = (pattern: string, name: string) =>
      pattern === '*' || pattern === name;
    const found = [...this.relays].filter(([name]) => {
      const [left, right] = name.split('>');
      return fits(from, left) && fits(to, right);
    });
    if (found.length === 0) {
      throw new Error(`no link from ${from} to ${to}`);
    }
    return found.map(([, relay]) => relay);
  }

  close(): void {
    this.relays.forEach(relay => relay.close());
  }
}

function createName(from: string, to: string): string {
  return `${from}>${to}`;
}
