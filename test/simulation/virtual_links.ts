/**
 * Connections between control processes as these keep them: each opens one to every
 * name that it knows, learns there which disk answers, asks now and then, and gives one
 * up that was silent for long. Bytes arrive in their order or not at all.
 */
import {Timers} from '../../src/common/timers';
import {Message} from '../../src/protocol/message';
import {splitIdentity} from '../../src/protocol/split_identity';
import {LinkFaults} from './link_faults';
import {VirtualTime} from './virtual_time';

const RECONNECT_MS = 100;
const PROBE_EVERY_MS = 400;
const SILENT_MS = 1_500;
const DELAY_MS = [0.3, 3] as const;
/** An attempt that nothing answers is given up after this time: to connect, and for the hello. */
const CONNECT_TIMEOUT_MS = 1_000;
const HELLO_TIMEOUT_MS = 2_000;

type Reply = (message: Message) => void;

/** A process that can be reached. */
export interface Station {
  readonly name: string;
  readonly identity: string;
  readonly zone: string;
  /** Another for each start of a process. */
  readonly start: object;
  readonly receive: (from: string, message: Message, reply: Reply) => void;
  /** Called with the process that has just connected to this one. */
  readonly onConnected: (peer: Station) => void;
}

/** The network between the processes. */
export interface VirtualNet {
  readonly time: VirtualTime;
  readonly random: () => number;
  /** The process that listens there now; undefined for nobody. */
  readonly find: (name: string) => Station | undefined;
  readonly isCut: (from: string, to: string) => boolean;
  /** Absent where connections fail at once or not at all. */
  readonly faults?: LinkFaults;
}

interface Link {
  readonly station: Station;
  heardAt: number;
  readonly openedAt: number;
  /** Bytes were lost: nothing comes through any more. */
  isBroken: boolean;
  arrivesAt: number;
}

/** One process's connections. */
export class VirtualLinks {
  private readonly links = new Map<string, Link>();
  private readonly names = new Set<string>();
  /** The newest attempt to connect, by name; older ones are given up. */
  private readonly attempts = new Map<string, object>();
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

  /** Connects at once to a process that has just connected to this one. */
  connectBack(peer: Station): void {
    const link = this.links.get(peer.name);
    if (link && link.station !== peer) {
      this.links.delete(peer.name);
    }
    if (this.names.has(peer.name) && !this.links.has(peer.name)) {
      this.connect(peer.name);
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
    const attempt = {};
    this.attempts.set(name, attempt);
    const station = net.find(name);
    const isCut = net.isCut(own.name, name) || net.isCut(name, own.name);
    const isOpen = station && !isCut;
    const hangs = net.faults && (isCut || net.faults.isDark(name));
    const failMs = RECONNECT_MS + (hangs ? CONNECT_TIMEOUT_MS : 0);
    this.timers.delay(isOpen ? this.drawDelay() : failMs, () => {
      if (this.attempts.get(name) !== attempt) {
        return;
      }
      if (!isOpen) {
        this.connect(name);
      } else if (net.find(name) !== station) {
        this.reconnectAfterLostHello(name);
      } else {
        const now = net.time.now();
        const openedAt = now;
        const isBroken = false;
        this.links.set(name, {
          station,
          openedAt,
          heardAt: now,
          isBroken,
          arrivesAt: now,
        });
        station.onConnected(own);
      }
    });
  }

  /** The machine went away between the connection and its hello. */
  private reconnectAfterLostHello(name: string): void {
    if (this.net.faults?.isDark(name)) {
      const delayMs = HELLO_TIMEOUT_MS + RECONNECT_MS;
      const attempt = this.attempts.get(name);
      this.timers.delay(delayMs, () => {
        if (this.attempts.get(name) === attempt) {
          this.connect(name);
        }
      });
    } else {
      this.connect(name);
    }
  }

  private probe(): void {
    const now = this.net.time.now();
    for (const [name, link] of this.links) {
      const isGone = this.net.find(name) !== link.station;
      const isReset = isGone && !this.net.faults?.isDark(name);
      if (isReset || now - link.heardAt > SILENT_MS) {
        this.links.delete(name);
        this.timers.delay(RECONNECT_MS, () => {
          if (!this.links.has(name)) {
            this.connect(name);
          }
        });
      } else {
        const {identity, zone} = this.own;
        this.carry(link, {type: 'formation-ask', identity, zone});
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
    const lossMs = net.faults?.drawLossMs() ?? 0;
    link.arrivesAt = Math.max(link.arrivesAt, now + this.drawDelay() + lossMs);
    net.time.after(link.arrivesAt - now, () => {
      const isEnded =
        !this.isAlive() || net.find(link.station.name) !== link.station;
      const isSilenced =
        net.faults?.isSilenced(from, link.openedAt) ||
        net.faults?.isSilenced(to, link.openedAt);
      link.isBroken ||= isEnded || isSilenced || net.isCut(from, to);
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
