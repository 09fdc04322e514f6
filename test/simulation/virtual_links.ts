/**
 * Connections between control processes as these keep them: each opens one to every
 * name that it knows, learns there which disk answers, asks now and then, and gives one
 * up that was silent for long. Bytes arrive in their order or not at all.
 */
import {Timers} from '../../src/common/timers';
import {Message} from '../../src/protocol/message';
import {splitIdentity} from '../../src/protocol/split_identity';
import {VirtualTime} from './virtual_time';

const RECONNECT_MS = 100;
const PROBE_EVERY_MS = 400;
const SILENT_MS = 1_500;
const DELAY_MS = [0.3, 3] as const;

type Reply = (message: Message) => void;

/** A process that can be reached. */
export interface Station {
  readonly name: string;
  readonly identity: string;
  /** Another for each start of a process. */
  readonly start: object;
  readonly receive: (from: string, message: Message, reply: Reply) => void;
}

/** The network between the processes. */
export interface VirtualNet {
  readonly time: VirtualTime;
  readonly random: () => number;
  /** The process that listens there now; undefined for nobody. */
  readonly find: (name: string) => Station | undefined;
  readonly isCut: (from: string, to: string) => boolean;
}

interface Link {
  readonly station: Station;
  heardAt: number;
  /** Bytes were lost: nothing comes through any more. */
  isBroken: boolean;
  arrivesAt: number;
}

/** One process's connections. */
export class VirtualLinks {
  private readonly links = new Map<string, Link>();
  private readonly names = new Set<string>();
  private readonly heardAt = new Map<string, number>();

  private constructor(
    private readonly net: VirtualNet,
    private readonly own: Station,
    private readonly timers: Timers,
    private readonly isAlive: () => boolean,
  ) {
    timers.repeat(PROBE_EVERY_MS, () => this.probe());
  }

  static create(
    net: VirtualNet,
    own: Station,
    timers: Timers,
    isAlive: () => boolean,
  ): VirtualLinks {
    return new VirtualLinks(net, own, timers, isAlive);
  }

  add(name: string): void {
    if (!this.names.has(name)) {
      this.names.add(name);
      this.connect(name);
    }
  }

  listIdentities(): string[] {
    return [...this.links.values()].map(({station}) => station.identity);
  }

  findLastActivityAt(identity: string): number | undefined {
    return this.heardAt.get(identity);
  }

  send(identity: string, message: Message): void {
    const link = this.links.get(splitIdentity(identity).name);
    if (link?.station.identity === identity) {
      this.carry(link, message);
    }
  }

  private connect(name: string): void {
    const {net, own} = this;
    const station = net.find(name);
    const isOpen =
      station && !net.isCut(own.name, name) && !net.isCut(name, own.name);
    this.timers.delay(isOpen ? this.drawDelay() : RECONNECT_MS, () => {
      if (!isOpen || net.find(name) !== station) {
        this.connect(name);
        return;
      }
      const now = net.time.now();
      const link = {station, heardAt: now, isBroken: false, arrivesAt: now};
      this.links.set(name, link);
    });
  }

  private probe(): void {
    const now = this.net.time.now();
    for (const [name, link] of this.links) {
      const isReset = this.net.find(name) !== link.station;
      if (isReset || now - link.heardAt > SILENT_MS) {
        this.links.delete(name);
        this.timers.delay(RECONNECT_MS, () => this.connect(name));
      } else {
        this.carry(link, {type: 'formation-ask', identity: this.own.identity});
      }
    }
  }

  private carry(link: Link, message: Message): void {
    const {net, own} = this;
    const {station} = link;
    this.deliver(link, own.name, station.name, message, copy =>
      station.receive(own.identity, copy, answer =>
        this.deliver(link, station.name, own.name, answer, answerCopy => {
          link.heardAt = net.time.now();
          this.heardAt.set(station.identity, link.heardAt);
          own.receive(station.identity, answerCopy, () => undefined);
        }),
      ),
    );
  }

  private deliver(
    link: Link,
    from: string,
    to: string,
    message: Message,
    act: (message: Message) => void,
  ): void {
    const {net} = this;
    const now = net.time.now();
    const copy = structuredClone(message);
    link.arrivesAt = Math.max(link.arrivesAt, now + this.drawDelay());
    net.time.after(link.arrivesAt - now, () => {
      const isEnded =
        !this.isAlive() || net.find(link.station.name) !== link.station;
      link.isBroken ||= isEnded || net.isCut(from, to);
      if (!link.isBroken) {
        act(copy);
      }
    });
  }

  private drawDelay(): number {
    const [least, most] = DELAY_MS;
    return least + this.net.random() * (most - least);
  }
}
