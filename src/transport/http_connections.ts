/** The connections of one listener: their limit, their time limits and the bytes that wait on them. */
import {Clock} from '../common/clock';
import {HttpConnection} from './http_connection';
import {HttpLimits} from './http_limits';

/** Between the time that a connection may rest or a head may take and the end of the connection: what is on the way then still arrives. */
const TIME_MARGIN_MS = 1_000;
/** For reading and dropping what a caller still sends after its connection was refused. */
const LINGER_MS = 1_000;
/** A caller that takes nothing of a complete response for as long may lose its connection to others. */
const UNREAD_MS = 1_000;
/** Bytes of unfinished heads and of requests sent ahead, on all connections of a listener together. */
const MAX_HELD_BYTES = 16 * 1024 * 1024;

type Phase = HttpConnection['phase'];

interface ConnectionTimes {
  phase: Phase;
  /** Start of the current phase, in milliseconds. */
  since: number;
  /** How long the connection may rest by its last response, in milliseconds. */
  statedIdleMs: number;
  heldBytes: number;
  /** At the last check. */
  unreadBytes: number;
  /** Since when the caller has taken nothing of its response, in milliseconds; Infinity if it has. */
  unreadSince: number;
}

/** Limits of a listener. */
interface HttpConnectionsOptions {
  readonly clock: Clock;
  readonly maxConnections: number;
  readonly maxHeldBytes?: number;
  readonly readLimits: () => HttpLimits;
  /** The idle time that responses state now, in milliseconds. */
  readonly readStatedIdleMs: () => number;
  /** A connection was ended to keep a limit. */
  readonly onEnded: (reason: string) => void;
}

/** Decides which connection is closed when there are too many, or when one takes too long. */
export class HttpConnections {
  private readonly times = new Map<HttpConnection, ConnectionTimes>();
  /** Connections in each phase, those that have been in it the longest first. */
  private readonly phases: Readonly<Record<Phase, Set<HttpConnection>>> = {
    closing: new Set(),
    idle: new Set(),
    unfinished: new Set(),
    answering: new Set(),
  };
  private readonly holders = new Set<HttpConnection>();
  private heldBytes = 0;

  private constructor(private readonly options: HttpConnectionsOptions) {}

  /**
   * Creates an empty set of connections.
   *
   * @example
   * const connections = HttpConnections.create({clock, maxConnections, readLimits, readStatedIdleMs});
   */
  static create(options: HttpConnectionsOptions): HttpConnections {
    return new HttpConnections(options);
  }

  get size(): number {
    return this.times.size;
  }

  /** The state that decides which connection is ended. */
  describe(): Record<string, number> {
    const {idle, unfinished, answering} = this.phases;
    return {
      connections: this.size,
      idle: idle.size,
      unfinished: unfinished.size,
      answering: answering.size,
      heldBytes: this.heldBytes,
    };
  }

  /** Adds a new connection; when there are too many, another one is closed for it, or itself if all others are being answered. */
  add(connection: HttpConnection): void {
    const {maxConnections, onEnded} = this.options;
    if (this.size >= maxConnections && !this.evict()) {
      onEnded('all connections are being answered: the new one was closed');
      connection.close();
      return;
    }
    const {phase} = connection;
    this.times.set(connection, {
      phase,
      since: this.options.clock.now(),
      statedIdleMs: 0,
      heldBytes: 0,
      unreadBytes: 0,
      unreadSince: Infinity,
    });
    this.phases[phase].add(connection);
  }

  /**
   * Closes the connection that is idle for the longest time, or else the oldest with an
   * unfinished request, or one whose caller does not read; false if there is none.
   */
  evict(): boolean {
    const {closing, idle, unfinished} = this.phases;
    const groups = [closing, idle, unfinished].map(([oldest]) => oldest);
    const oldest = groups.find(Boolean) ?? this.findUnread();
    if (!oldest) {
      return false;
    }
    this.options.onEnded(
      `there are too many connections: the oldest that was ${oldest.phase} was closed`,
    );
    this.remove(oldest);
    oldest.close();
    return true;
  }

  /** Forgets a connection that has closed. */
  remove(connection: HttpConnection): void {
    const times = this.times.get(connection);
    if (!times) {
      return;
    }
    this.heldBytes -= times.heldBytes;
    this.times.delete(connection);
    this.holders.delete(connection);
    this.phases[times.phase].delete(connection);
  }

  /** Notes that a connection has entered another phase. */
  move(connection: HttpConnection): void {
    const times = this.times.get(connection);
    if (!times) {
      return;
    }
    this.phases[times.phase].delete(connection);
    times.phase = connection.phase;
    this.phases[times.phase].add(connection);
    times.since = this.options.clock.now();
    times.statedIdleMs = this.options.readStatedIdleMs();
  }

  /** Counts the bytes that wait on a connection, and closes connections while there are too many on all together. */
  updateHeld(connection: HttpConnection): void {
    const times = this.times.get(connection);
    if (!times) {
      return;
    }
    const {heldBytes} = connection;
    this.heldBytes += heldBytes - times.heldBytes;
    times.heldBytes = heldBytes;
    if (heldBytes > 0) {
      this.holders.add(connection);
    } else {
      this.holders.delete(connection);
    }
    const {maxHeldBytes = MAX_HELD_BYTES} = this.options;
    while (this.heldBytes > maxHeldBytes) {
      this.releaseHolder();
    }
  }

  /** Ends connections whose time is over. */
  expire(): void {
    const now = this.options.clock.now();
    const {headerTimeoutMs, idleTimeoutMs} = this.options.readLimits();
    this.holders.forEach(each => this.updateHeld(each));
    this.phases.answering.forEach(each => this.updateUnread(each, now));
    this.phases.closing.forEach(each => {
      if (now - this.readTimes(each).since > LINGER_MS) {
        each.close();
      }
    });
    this.phases.idle.forEach(each => {
      const {since, statedIdleMs} = this.readTimes(each);
      const idleMs = Math.max(idleTimeoutMs, statedIdleMs);
      if (now - since > idleMs + TIME_MARGIN_MS) {
        each.close();
      }
    });
    this.phases.unfinished.forEach(each => {
      const {since} = this.readTimes(each);
      const isLate = now - since > headerTimeoutMs + TIME_MARGIN_MS;
      if (each.hasUnfinishedHead && isLate) {
        this.options.onEnded('a head was not finished in time');
        each.reject(408);
      }
    });
  }

  /** Finds a connection whose caller has its complete response ready and takes nothing of it. */
  private findUnread(): HttpConnection | undefined {
    const now = this.options.clock.now();
    return [...this.phases.answering].find(
      each => now - this.readTimes(each).unreadSince > UNREAD_MS,
    );
  }

  private updateUnread(connection: HttpConnection, now: number): void {
    const times = this.times.get(connection);
    if (!times) {
      return;
    }
    const {unreadBytes} = connection;
    if (unreadBytes === 0 || unreadBytes !== times.unreadBytes) {
      times.unreadSince = unreadBytes === 0 ? Infinity : now;
    }
    times.unreadBytes = unreadBytes;
  }

  /** Ends the oldest of the connections that hold much. At least one holds the average. */
  private releaseHolder(): void {
    const average = this.heldBytes / this.holders.size;
    for (const each of this.holders) {
      if (this.readTimes(each).heldBytes >= average / 2) {
        const isHead = each.hasUnfinishedHead;
        this.options.onEnded(
          isHead
            ? 'unfinished heads hold too much memory: an old one was refused'
            : 'requests sent ahead hold too much memory: a connection was closed',
        );
        if (isHead) {
          each.reject(503);
        } else {
          this.remove(each);
          each.close();
        }
        return;
      }
    }
  }

  private readTimes(
    connection: HttpConnection,
  ): Omit<ConnectionTimes, 'phase'> {
    const times = this.times.get(connection);
    return (
      times ?? {
        since: Infinity,
        statedIdleMs: 0,
        heldBytes: 0,
        unreadBytes: 0,
        unreadSince: Infinity,
      }
    );
  }
}
