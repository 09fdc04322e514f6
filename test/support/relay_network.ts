/** The relays of one test fleet, by source and destination. */
import {Relay} from './relay';

/** Creates a relay for each pair of processes that a scenario may disconnect. */
export class RelayNetwork {
  private readonly relays = new Map<string, Relay>();

  private constructor() {}

  static create(): RelayNetwork {
    return new RelayNetwork();
  }

  /** Opens a relay, if there is none yet, and returns the port on which `from` reaches `to`; `*` stands for all processes. */
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

  /** Changes the target port of an open relay. */
  aim(from: string, to: string, targetPort: number): void {
    this.relays.get(createName(from, to))?.setTarget(targetPort);
  }

  /** Lists the relays whose source and destination match; `*` matches all. */
  select(from: string, to: string): Relay[] {
    const matches = (pattern: string, name: string) =>
      pattern === '*' || pattern === name;
    const found = [...this.relays].filter(([name]) => {
      const [left, right] = name.split('>');
      return matches(from, left) && matches(to, right);
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
