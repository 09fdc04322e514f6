import {createRandom} from './create_random';
import {FleetEvent} from './fleet_event';

const FIRST_LOSS_MS = 2_000;
const FIRST_ADDED_MS = 11_000;
const LAST_MS = 31_000;
/** Hosts are added a little less often than they are lost. */
const ADDED_INTERVAL_FACTOR = 1.15;
const PARTITION_CHANCE = 0.5;
const PARTITION = {hosts: 4, durationMs: 5_000};

interface LossOptions {
  readonly domains: readonly string[];
  /** Average interval between two losses. */
  readonly everyMs: number;
  readonly seed: number;
}

/**
 * Draws losses of members and additions of hosts without weights, round-robin over
 * the domains, and for about half of the seeds a temporary partition of some hosts.
 *
 * @example
 * const events = drawLosses({domains: ['a', 'b'], everyMs: 2900, seed: 1});
 */
export function drawLosses(options: LossOptions): FleetEvent[] {
  const {domains, everyMs, seed} = options;
  const random = createRandom(seed);
  const drawSeries = (
    kind: 'lose-member' | 'add-host',
    fromMs: number,
    intervalMs: number,
  ) => {
    const events: FleetEvent[] = [];
    let turn = Math.floor(random() * domains.length);
    let at = fromMs + random() * intervalMs;
    while (at < LAST_MS) {
      events.push({at, kind, domain: domains[turn % domains.length]});
      turn += 1;
      at += intervalMs * (0.8 + 0.4 * random());
    }
    return events;
  };
  const losses = drawSeries('lose-member', FIRST_LOSS_MS, everyMs);
  const added = drawSeries(
    'add-host',
    FIRST_ADDED_MS,
    everyMs * ADDED_INTERVAL_FACTOR,
  );
  const partitionAt = 8_000 + random() * 12_000;
  const partitions: FleetEvent[] =
    random() < PARTITION_CHANCE
      ? [{at: partitionAt, kind: 'cut', ...PARTITION}]
      : [];
  return [...losses, ...added, ...partitions];
}
