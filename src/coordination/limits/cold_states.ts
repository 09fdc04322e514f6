/**
 * Until when backend servers are cold. Reports come from several sources, in any order
 * and with each answer or registration of a server; the newest one wins.
 */
import {ColdServerReport} from '../../protocol/cold_server_report';

/**
 * Added to a reported end. A server repeats its countdown with jitter, and each change of
 * the end is sent to all gateways.
 */
const MARGIN_MS = 250;
/** An end that moves back by less than this is not a change; the server counts as cold for that much longer. */
const MAX_EARLIER_MS = 1_000;
/** How long the end of a cold state is remembered, so that an older report does not restore it. */
const END_RETENTION_MS = 10_000;

/** One report; times are monotonic milliseconds of the caller. */
interface ColdReport {
  readonly incarnation: string;
  /** When the server stops being cold; not after `now` for one that is warm. */
  readonly until: number;
  /** When it said so. If that is not known exactly, the latest possible time for `cold` and the earliest for `warm`. */
  readonly at: number;
  readonly now: number;
  /** It comes from a registration of the server. */
  readonly isRegistration?: boolean;
  /** Only a registration ends this state early. */
  readonly needsRegistration?: boolean;
}

interface ColdState {
  readonly until: number;
  readonly reportedAt: number;
  readonly needsRegistration: boolean;
}

/** How a report changed the state of a server. */
type ColdChange = 'cold' | 'changed' | 'warm';

/** Cold states by incarnation of the backend server. */
export class ColdStates {
  private readonly states = new Map<string, ColdState>();

  private constructor() {}

  /**
   * Creates a table in which every server is warm.
   *
   * @example
   * const states = ColdStates.create();
   * states.record({incarnation: 'i-7f3a91c2', until: now + 8_000, at: now, now});
   */
  static create(): ColdStates {
    return new ColdStates();
  }

  /** Records a report; returns the change, or undefined if there is none. */
  record(report: ColdReport): ColdChange | undefined {
    const {incarnation, until, at, now} = report;
    const known = this.states.get(incarnation);
    if (known && known.reportedAt > at) {
      return undefined;
    }
    const knownEnd = known?.until ?? -Infinity;
    const wasCold = knownEnd > now;
    const isCold = until > now;
    const isHeld =
      wasCold && known?.needsRegistration === true && !report.isRegistration;
    if (isHeld && until <= knownEnd) {
      return undefined;
    }
    const keepsEnd =
      wasCold && knownEnd >= until && knownEnd - until <= MAX_EARLIER_MS;
    const end = keepsEnd ? knownEnd : until + MARGIN_MS;
    this.states.set(incarnation, {
      until: isCold ? end : -Infinity,
      reportedAt: at,
      needsRegistration: isCold && (isHeld || !!report.needsRegistration),
    });
    if (wasCold && isCold) {
      return keepsEnd ? undefined : 'changed';
    }
    return wasCold === isCold ? undefined : isCold ? 'cold' : 'warm';
  }

  isCold(incarnation: string, now: number): boolean {
    return this.findEnd(incarnation) > now;
  }

  /** Returns when the server stops being cold, which may be over; -Infinity if it is warm or unknown. */
  findEnd(incarnation: string): number {
    return this.states.get(incarnation)?.until ?? -Infinity;
  }

  /** True if the server itself said whether it is cold. */
  isReported(incarnation: string): boolean {
    return Number.isFinite(this.states.get(incarnation)?.reportedAt);
  }

  /** Removes what is known of a server; returns whether it was cold. */
  remove(incarnation: string, now: number): boolean {
    const wasCold = this.isCold(incarnation, now);
    this.states.delete(incarnation);
    return wasCold;
  }

  /** Describes what is known of these servers to another process. */
  describe(incarnations: readonly string[], now: number): ColdServerReport[] {
    return incarnations.flatMap(incarnation => {
      const known = this.states.get(incarnation);
      return known && Number.isFinite(known.reportedAt)
        ? [
            {
              incarnation,
              coldForMs: Math.max(0, known.until - now),
              msAgo: Math.max(0, now - known.reportedAt),
            },
          ]
        : [];
    });
  }

  /** Lists the servers of which anything is known. */
  list(): string[] {
    return [...this.states.keys()];
  }

  /** Removes states that ended some time ago; returns the servers whose time ended since the previous call. */
  expire(now: number, previousCallAt: number): string[] {
    const ended: string[] = [];
    for (const [incarnation, {until, reportedAt}] of this.states) {
      if (until <= now && until > previousCallAt) {
        ended.push(incarnation);
      }
      if (now - Math.max(until, reportedAt) > END_RETENTION_MS) {
        this.states.delete(incarnation);
      }
    }
    return ended;
  }

  clear(): void {
    this.states.clear();
  }
}
