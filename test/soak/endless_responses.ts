/** Bytes without end in the place of answers, until the gateway closes the connection. */
import {Socket} from 'node:net';
import {endlessKinds} from './endless_kinds';

/** Part of the requests that get bytes without end while the fault lasts. */
const ENDLESS_SHARE = 0.15;
/** Under way at once at one backend server. */
const MOST_AT_ONCE = 2;
/** One unit of 16 KiB in this time, that is 3.2 MB a second. */
const PACE_MS = 5;
/** What one connection gets at most: far more than a gateway has a use for. */
const MOST_BYTES = 32 * 1024 * 1024;
/** How long one connection gets them at most: far above the longest timeout of a route. */
const LONGEST_MS = 10_000;

/** One connection that gets bytes without end. */
interface EndlessExchange {
  readonly kind: string;
  /** What `SoakRequest` has as its key. */
  readonly key: string;
  /** Name of the backend server. */
  readonly at: string;
  readonly from: number;
  to: number;
  bytes: number;
  /** The other side closed it, before a bound of this side was reached. */
  isClosed: boolean;
}

interface EndlessResponsesOptions {
  readonly name: string;
  /** Uniform in [0, 1), seeded. */
  readonly random: () => number;
}

/** Sends them for one backend server, with backpressure and bounded in rate, time and total. */
export class EndlessResponses {
  readonly exchanges: EndlessExchange[] = [];
  private until = 0;

  private constructor(private readonly options: EndlessResponsesOptions) {}

  static create(options: EndlessResponsesOptions): EndlessResponses {
    return new EndlessResponses(options);
  }

  /** Draws requests for a while. */
  begin(durationMs: number): void {
    this.until = performance.now() + durationMs;
  }

  /** The name of a kind in `endlessKinds`, if the request is drawn. */
  chooseKind(isStream: boolean): string | undefined {
    const {random} = this.options;
    const underWay = this.exchanges.filter(({to}) => to === Infinity);
    const isDue =
      performance.now() < this.until &&
      underWay.length < MOST_AT_ONCE &&
      random() < ENDLESS_SHARE;
    if (!isDue) {
      return undefined;
    }
    const other = isStream ? 'plain' : 'stream';
    const kinds = Object.keys(endlessKinds).filter(
      kind => endlessKinds[kind].routes !== other,
    );
    return kinds[Math.floor(random() * kinds.length)];
  }

  /**
   * Sends bytes in place of an answer.
   *
   * @param after number of the last event that the caller has
   */
  send(
    kind: string,
    {id, key, after}: {id: string; key: string; after: number},
    socket: Socket,
  ): void {
    const {formatStart, unit} = endlessKinds[kind];
    const from = performance.now();
    const exchange: EndlessExchange = {
      kind,
      key,
      at: this.options.name,
      from,
      to: Infinity,
      bytes: 0,
      isClosed: false,
    };
    this.exchanges.push(exchange);
    const timer = setInterval(() => {
      const isSpent =
        exchange.bytes >= MOST_BYTES || performance.now() - from >= LONGEST_MS;
      if (isSpent) {
        end(false);
        socket.destroy();
      } else if (!socket.writableNeedDrain) {
        exchange.bytes += unit.length;
        socket.write(unit);
      }
    }, PACE_MS);
    const end = (isClosed: boolean) => {
      if (exchange.to === Infinity) {
        clearInterval(timer);
        exchange.to = performance.now();
        exchange.isClosed = isClosed;
      }
    };
    socket.once('close', () => end(true));
    socket.write(formatStart({id, after}));
  }
}
