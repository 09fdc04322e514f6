import {createRandom} from './create_random';
import {FleetEvent} from './fleet_event';

const FIRST_LOSS_MS = 2_000;
const FIRST_ADDED_MS = 11_000;
const LAST_MS = 31_000;
/** Hosts come a little less often than they are lost. */
const ADDED_EVERY = 1.15;
const CUT_CHANCE = 0.5;
const CUT = {hosts: 4, forMs: 5_000};

interface LossOptions {
  readonly domains: readonly string[];
  /** Between two losses, on average. */
  readonly everyMs: number;
  readonly seed: number;
}

/**
 * Draws losses of members and additions of empty hosts, by turns over the
 * domains, and in every second seed some hosts that are silent for a while.
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
    betweenMs: number,
  ) => {
    const events: FleetEvent[] = [];
    let turn = Math.floor(random() * domains.length);
    let at = fromMs + random() * betweenMs;
    while (at < LAST_MS) {
      events.push({at, kind, domain: domains[turn % domains.length]});
      turn += 1;
      at += betweenMs * (0.8 + 0.4 * random());
    }
    return events;
  };
  const losses = drawSeries('lose-member', FIRST_LOSS_MS, everyMs);
  const added = drawSeries('add-host', FIRST_ADDED_MS, everyMs * ADDED_EVERY);
  const cutAt = 8_000 + random() * 12_000;
  const cuts: FleetEvent[] =
    random() < CUT_CHANCE ? [{at: cutAt, kind: 'cut', ...CUT}] : [];
  return [...losses, ...added, ...cuts];
}
