/** What became of the connections that got bytes without end, and of the callers behind them. */
import {SoakFaults} from './soak_faults';
import {SoakFleet} from './soak_fleet';
import {SoakRequest} from './soak_request';
import {soakRoutes} from './soak_routes';

type Exchange =
  SoakFleet['backends'][number]['options']['endless']['exchanges'][number];

interface SoakEndlessOptions {
  /** Of all callers, after their end. */
  readonly requests: readonly SoakRequest[];
  readonly fleet: SoakFleet;
  readonly faults: SoakFaults;
}

/** Figures of one kind of bytes. */
interface EndlessFigures {
  count: number;
  longestMs: number;
  mostKb: number;
}

/** Checks that gateways close these connections. */
export class SoakEndless {
  private constructor(private readonly options: SoakEndlessOptions) {}

  static create(options: SoakEndlessOptions): SoakEndless {
    return new SoakEndless(options);
  }

  /** True while bytes go to a connection that its gateway could have closed. */
  get isUnderWay(): boolean {
    return this.listUnharmed().some(({to}) => to === Infinity);
  }

  /** Lists connections that were still open at the bound of their backend server, each in a sentence. */
  check(): string[] {
    return this.listUnharmed()
      .filter(({isClosed}) => !isClosed)
      .map(
        ({kind, key, at, bytes, from, to}) =>
          `${key} got ${bytes} bytes of an endless ${kind} from ${at} in ${Math.round(to - from)} ms, and no gateway closed the connection`,
      );
  }

  /** By kind, of connections without other faults; and repeatable requests that were held to their deadline. */
  describe() {
    const byKind: Record<string, EndlessFigures> = {};
    const held: string[] = [];
    for (const {kind, key, from, to, bytes} of this.listUnharmed()) {
      byKind[kind] ??= {count: 0, longestMs: 0, mostKb: 0};
      const figures = byKind[kind];
      figures.count += 1;
      figures.longestMs = Math.max(figures.longestMs, Math.round(to - from));
      figures.mostKb = Math.max(figures.mostKb, Math.round(bytes / 1_024));
      if (this.isHeld(key)) {
        held.push(`${key}: ${kind}`);
      }
    }
    return {byKind, held};
  }

  private get exchanges(): Exchange[] {
    return this.options.fleet.backends.flatMap(
      ({options}) => options.endless.exchanges,
    );
  }

  /** Those whose gateway and link were undisturbed throughout; a cut link hides that the gateway closes. */
  private listUnharmed(): Exchange[] {
    const {faults} = this.options;
    return this.exchanges.filter(({key, at, to}) => {
      const request = this.findRequest(key);
      return (
        request !== undefined &&
        !request.entry.wasHarmed(request.reply.sentAt, to) &&
        !faults.wasLinkHarmed(new Set([at]), request.reply.sentAt, to)
      );
    });
  }

  private isHeld(key: string): boolean {
    const request = this.findRequest(key);
    if (!request) {
      return false;
    }
    const {route, reply} = request;
    const {timeout_ms: timeoutMs, max_attempts: attempts} = soakRoutes[route];
    return attempts > 1 && reply.endedAt - reply.sentAt >= timeoutMs;
  }

  private findRequest(key: string): SoakRequest | undefined {
    return this.options.requests.find(request => request.key === key);
  }
}
