/** Draws days whose end is a loss of disks or power with a disturbed recovery. */
import {createRandom} from '../support/create_random';
import {DAY_MS, DayEvent, QuorumDay, drawDay} from './quorum_day';

const MACHINES = 5;
const MAX_DISTURBANCES = 4;
/** Disturbances of the recovery begin within this time after the closing, in milliseconds. */
const DISTURBED_MS = 5_000;
const HOURS_MS = 3_600_000;

type Pick = (least: number, most: number) => number;
type DrawEvent = (at: number, machine: number, pick: Pick) => DayEvent;

/** What changes the voters, or keeps one of them from hearing of it. */
const CHANGES: readonly DrawEvent[] = [
  (at, machine, pick) => ({
    at,
    kind: 'replace',
    machine,
    afterMs: pick(100, 1_500),
  }),
  (at, machine, pick) => ({
    at,
    kind: 'wipe',
    machine,
    downMs: pick(200, 1_500),
    isAimed: pick(0, 3) === 0,
  }),
];
const LAGS: readonly DrawEvent[] = [
  (at, machine, pick) => ({
    at,
    kind: 'cut',
    machine,
    forMs: pick(2_000, 14_000),
    how: (['both', 'in'] as const)[pick(0, 1)],
  }),
  (at, machine, pick) => ({
    at,
    kind: 'power',
    machine,
    downMs: pick(2_000, 14_000),
  }),
  (at, machine, pick) => ({
    at,
    kind: 'freeze',
    machine,
    forMs: pick(2_000, 14_000),
    isAimed: false,
  }),
];

const DISTURBANCES: readonly DrawEvent[] = [
  (at, machine, pick) => ({at, kind: 'kill', machine, downMs: pick(50, 1_500)}),
  (at, machine, pick) => ({
    at,
    kind: 'power',
    machine,
    downMs: pick(100, 2_000),
  }),
  (at, _machine, pick) => ({at, kind: 'power-all', downMs: pick(200, 1_500)}),
  (at, machine, pick) => ({
    at,
    kind: 'freeze',
    machine,
    forMs: pick(200, 2_500),
    isAimed: pick(0, 1) === 0,
  }),
  (at, machine, pick) => ({
    at,
    kind: 'cut',
    machine,
    forMs: pick(300, 3_000),
    how: (['both', 'in', 'out'] as const)[pick(0, 2)],
  }),
  (at, machine, pick) => ({at, kind: 'hang', machine, forMs: pick(300, 4_000)}),
  (at, machine, pick) => ({
    at,
    kind: 'slow',
    machine,
    forMs: pick(500, 4_000),
    factor: pick(5, 30),
  }),
  (at, machine, pick) => ({
    at,
    kind: 'step',
    machine,
    stepMs: pick(-HOURS_MS, HOURS_MS),
  }),
  (at, machine) => ({at, kind: 'silence', machine}),
  (at, _machine, pick) => ({
    at,
    kind: 'loss',
    part: pick(2, 30) / 100,
    forMs: pick(500, 4_000),
  }),
  (at, machine) => ({at, kind: 'seeds', machine}),
];

/**
 * Draws a day with a disturbed recovery.
 *
 * @example
 * const day = drawRecoveryDay(7);
 */
export function drawRecoveryDay(seed: number): QuorumDay {
  const random = createRandom(seed + 2_000_003);
  const pick: Pick = (least, most) =>
    least + Math.floor(random() * (most - least + 1));
  const draw = (kinds: readonly DrawEvent[], at: number, machine: number) =>
    kinds[pick(0, kinds.length - 1)](at, machine, pick);
  const events = drawVoterChange(draw, pick);
  if (random() < 0.4) {
    events.push(...drawDay(seed).events.slice(0, pick(1, 3)));
  }
  const isStaggered = random() < 0.7;
  const downMs = Array.from(
    {length: MACHINES},
    () => pick(300, 1_200) + (isStaggered ? pick(0, 4_000) : 0),
  );
  const disturbances = Array.from({length: pick(0, MAX_DISTURBANCES)}, () =>
    draw(DISTURBANCES, pick(100, DISTURBED_MS), pick(0, MACHINES - 1)),
  );
  return {
    seed,
    events: sortByTime(events),
    changeEveryMs: random() < 0.5 ? 200 : pick(2_000, 20_000),
    endsOnAck: random() < 0.6,
    closing: random() < 0.75 ? 'wipe-and-power' : 'power-all',
    isAimed: random() < 0.7,
    suspends: random() < 0.3,
    stepPart: 0,
    recovery: {downMs, events: sortByTime(disturbances)},
  };
}

/** A voter is replaced, or returns with an empty disk, while others may miss it. */
function drawVoterChange(
  draw: (kinds: readonly DrawEvent[], at: number, machine: number) => DayEvent,
  pick: Pick,
): DayEvent[] {
  const changed = pick(0, MACHINES - 1);
  const at = pick(2_500, DAY_MS - 500);
  const events: DayEvent[] = [];
  if (pick(0, 9) < 7) {
    events.push(draw(CHANGES, at, changed));
  }
  if (pick(0, 9) < 6) {
    const lagging = (changed + pick(1, MACHINES - 1)) % MACHINES;
    events.push(draw(LAGS, Math.max(2_000, at - pick(0, 1_000)), lagging));
  }
  return events;
}

function sortByTime(events: readonly DayEvent[]): DayEvent[] {
  return [...events].sort((left, right) => left.at - right.at);
}
