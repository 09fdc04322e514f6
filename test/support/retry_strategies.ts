/** Ways to share a retry budget among gateways that were weighed against loans, for comparison only. */
import {Clock} from '../../src/common/clock';
import {SimulatedBudget, SimulatedGateway} from './retry_simulation';

interface Limits {
  readonly ratio: number;
  readonly windowMs: number;
  readonly slack: number;
}

interface Counted {
  readonly at: number;
  readonly kind: 'request' | 'retry';
}

interface SharedCounts {
  readonly requests: number;
  readonly retries: number;
}

/** Part of the allowance that the shares use. */
const SAFETY_FACTOR = 0.8;
const POLL_INTERVAL_MS = 250;
const GATEWAY_TIMEOUT_MS = 3_000;
const SETTLED = {settle: () => undefined};

/** Counts of one life of a gateway in a sliding window. */
class WindowCounts {
  private counted: Counted[] = [];

  constructor(
    private readonly windowMs: number,
    private readonly clock: Clock,
  ) {}

  record(kind: Counted['kind']): void {
    this.counted.push({at: this.clock.now(), kind});
  }

  count(kind: Counted['kind'], since = -Infinity): number {
    const from = this.clock.now() - this.windowMs;
    this.counted = this.counted.filter(({at}) => at > from);
    return this.counted.filter(each => each.kind === kind && each.at > since)
      .length;
  }
}

/** What a leader knows of the gateways; a new one knows nothing. */
class GatewayReports {
  private readonly reports = new Map<number, SharedCounts & {at: number}>();

  constructor(private readonly clock: Clock) {}

  /** Takes a report, and returns how many gateways there are and what the others have reported. */
  exchange(gateway: number, own: SharedCounts) {
    const now = this.clock.now();
    this.reports.set(gateway, {...own, at: now});
    let requests = 0;
    let retries = 0;
    for (const [index, report] of this.reports) {
      if (now - report.at > GATEWAY_TIMEOUT_MS) {
        this.reports.delete(index);
      } else if (index !== gateway) {
        requests += report.requests;
        retries += report.retries;
      }
    }
    return {gateways: this.reports.size, requests, retries};
  }
}

/** How a gateway works out what it may send, from its own counts and from what the leader tells. */
type Strategy = (input: {
  readonly limits: Limits;
  readonly own: SharedCounts;
  readonly others: SharedCounts;
  readonly gateways: number;
  readonly ageMs: number;
}) => boolean;

export const STRATEGIES: Readonly<Record<string, Strategy>> = {
  'a share by the number of gateways': ({limits, own, gateways}) =>
    own.retries + 1 <=
    (limits.ratio * own.requests + limits.slack / gateways) * SAFETY_FACTOR,
  'the same, withheld for a window after a start': input => {
    const {limits, own, gateways, ageMs} = input;
    const slack = ageMs < limits.windowMs ? 0 : limits.slack / gateways;
    return (
      own.retries + 1 <= (limits.ratio * own.requests + slack) * SAFETY_FACTOR
    );
  },
  'all spending told with reports': ({limits, own, others}) =>
    own.retries + others.retries + 1 <=
    (limits.ratio * (own.requests + others.requests) + limits.slack) *
      SAFETY_FACTOR,
};

/** Creates the budgets of one simulation, which share what a leader knows. */
export function createStrategy(strategy: Strategy, limits: Limits) {
  let reports: GatewayReports | undefined;
  return {
    changeLeader: () => (reports = undefined),
    createBudget: (gateway: SimulatedGateway): SimulatedBudget => {
      const clock = gateway.simulation.time;
      const startedAt = clock.now();
      const counts = new WindowCounts(limits.windowMs, clock);
      let told = {gateways: 1, requests: 0, retries: 0};
      let toldAt = -Infinity;
      const refresh = () => {
        const now = clock.now();
        if (gateway.isCutOff || now - toldAt < POLL_INTERVAL_MS) {
          return;
        }
        toldAt = now;
        reports ??= new GatewayReports(clock);
        const requests = counts.count('request');
        told = reports.exchange(gateway.index, {
          requests,
          retries: counts.count('retry'),
        });
      };
      return {
        recordRequest: () => {
          refresh();
          counts.record('request');
        },
        takeRetry: () => {
          refresh();
          const own = {
            requests: counts.count('request'),
            retries: counts.count('retry'),
          };
          const ageMs = clock.now() - startedAt;
          const {gateways} = told;
          if (!strategy({limits, own, others: told, gateways, ageMs})) {
            return undefined;
          }
          counts.record('retry');
          return SETTLED;
        },
      };
    },
  };
}
