/** What befalls the machines of one simulated day, drawn from its seed. */
import {createRandom} from '../support/create_random';

/** One thing that happens. Machines are meant by their place in the list of those that are there then. */
export type DayEvent =
  | {
      readonly at: number;
      readonly kind: 'kill';
      readonly machine: number;
      readonly downMs: number;
    }
  | {
      readonly at: number;
      readonly kind: 'power';
      readonly machine: number;
      readonly downMs: number;
    }
  | {readonly at: number; readonly kind: 'power-all'; readonly downMs: number}
  | {readonly at: number; readonly kind: 'kill-all'; readonly downMs: number}
  | {
      readonly at: number;
      readonly kind: 'wipe';
      readonly machine: number;
      readonly downMs: number;
      readonly isAimed: boolean;
    }
  | {
      readonly at: number;
      readonly kind: 'replace';
      readonly machine: number;
      readonly afterMs: number;
    }
  | {
      readonly at: number;
      readonly kind: 'freeze';
      readonly machine: number;
      readonly forMs: number;
      readonly isAimed: boolean;
    }
  | {
      readonly at: number;
      readonly kind: 'cut';
      readonly machine: number;
      readonly forMs: number;
      readonly how: 'both' | 'in' | 'out';
    }
  | {
      readonly at: number;
      readonly kind: 'split';
      readonly machine: number;
      readonly forMs: number;
    }
  | {
      readonly at: number;
      readonly kind: 'stall';
      readonly machine: number;
      readonly forMs: number;
    }
  | {
      readonly at: number;
      readonly kind: 'full';
      readonly machine: number;
      readonly forMs: number;
    }
  | {readonly at: number; readonly kind: 'seeds'; readonly machine: number}
  /** The time of day of one machine is set. */
  | {
      readonly at: number;
      readonly kind: 'step';
      readonly machine: number;
      readonly stepMs: number;
    }
  /** The open connections of one machine carry nothing any more, and nobody is told. */
  | {readonly at: number; readonly kind: 'silence'; readonly machine: number}
  /** A part of all segments is lost and sent again. */
  | {
      readonly at: number;
      readonly kind: 'loss';
      readonly part: number;
      readonly forMs: number;
    }
  /** A disk answers nothing, or takes many times as long. */
  | {
      readonly at: number;
      readonly kind: 'hang';
      readonly machine: number;
      readonly forMs: number;
    }
  | {
      readonly at: number;
      readonly kind: 'slow';
      readonly machine: number;
      readonly forMs: number;
      readonly factor: number;
    };

/** A day: what happens in it, and how it ends. */
export interface QuorumDay {
  readonly seed: number;
  readonly events: readonly DayEvent[];
  /** Between two changes of the operator, on average; at most days it has little to do. */
  readonly changeEveryMs: number;
  /** It ends right after an acknowledgement, or while nothing goes on. */
  readonly endsOnAck: boolean;
  readonly closing: 'power-all' | 'kill-all' | 'wipe' | 'wipe-and-power';
  /** The disks that the closing loses are those of voters that hold the newest change, or any. */
  readonly isAimed: boolean;
  /** Machines that stand still do so by a suspension: their steady clocks do not count it. */
  readonly suspends: boolean;
  /** How far the time of day is set when a machine wakes, as a part of its suspension. */
  readonly stepPart: number;
  /** The operator also evacuates and restores zones. */
  readonly evacuates?: boolean;
  /** How the machines return after the closing; absent when all return at once and undisturbed. */
  readonly recovery?: {
    /** How long each machine is down, by its place. */
    readonly downMs: readonly number[];
    /** What goes wrong meanwhile; times count from the closing. */
    readonly events: readonly DayEvent[];
  };
}

type Draw = {
  readonly at: number;
  readonly machine: number;
  readonly pick: (least: number, most: number) => number;
  readonly isAimed: boolean;
};

export const DAY_MS = 14_000;
const FIRST_AT_MS = 2_500;
/** Not set, set forward, set back by half and by more than was missed. */
const STEP_PARTS = [0, 0, 1, -0.5, -2] as const;
const MAX_EVENTS = 7;
const MACHINES = 5;

const KINDS: ReadonlyArray<(draw: Draw) => DayEvent> = [
  ({at, machine, pick}) => ({
    at,
    kind: 'kill',
    machine,
    downMs: pick(100, 3_000),
  }),
  ({at, machine, pick}) => ({
    at,
    kind: 'power',
    machine,
    downMs: pick(100, 3_000),
  }),
  ({at, pick}) => ({at, kind: 'power-all', downMs: pick(300, 1_500)}),
  ({at, pick}) => ({at, kind: 'kill-all', downMs: pick(300, 1_000)}),
  ({at, machine, pick, isAimed}) => ({
    at,
    kind: 'wipe',
    machine,
    downMs: pick(200, 2_000),
    isAimed,
  }),
  ({at, machine, pick}) => ({
    at,
    kind: 'replace',
    machine,
    afterMs: pick(100, 2_000),
  }),
  ({at, machine, pick, isAimed}) => ({
    at,
    kind: 'freeze',
    machine,
    forMs: pick(300, 5_000),
    isAimed,
  }),
  ({at, machine, pick}) => ({
    at,
    kind: 'cut',
    machine,
    forMs: pick(500, 6_000),
    how: (['both', 'in', 'out'] as const)[pick(0, 2)],
  }),
  ({at, machine, pick}) => ({
    at,
    kind: 'split',
    machine,
    forMs: pick(500, 4_000),
  }),
  ({at, machine, pick}) => ({
    at,
    kind: 'stall',
    machine,
    forMs: pick(300, 4_000),
  }),
  ({at, machine, pick}) => ({
    at,
    kind: 'full',
    machine,
    forMs: pick(300, 4_000),
  }),
  ({at, machine}) => ({at, kind: 'seeds', machine}),
];

/**
 * Draws a day.
 *
 * @example
 * const day = drawDay(7);
 */
export function drawDay(seed: number): QuorumDay {
  const random = createRandom(seed);
  const pick = (least: number, most: number) =>
    least + Math.floor(random() * (most - least + 1));
  const count = 1 + pick(0, MAX_EVENTS - 1);
  const events = Array.from({length: count}, () => {
    const kind = KINDS[pick(0, KINDS.length - 1)];
    const at = pick(FIRST_AT_MS, DAY_MS - 500);
    return kind({
      at,
      machine: pick(0, MACHINES - 1),
      pick,
      isAimed: random() < 0.5,
    });
  });
  const closings = ['power-all', 'kill-all', 'wipe', 'wipe-and-power'] as const;
  return {
    seed,
    events: events.sort((left, right) => left.at - right.at),
    closing: closings[random() < 0.5 ? 3 : pick(0, 3)],
    isAimed: random() < 0.7,
    changeEveryMs: random() < 0.6 ? 200 : pick(2_000, 20_000),
    endsOnAck: random() < 0.7,
    // Drawn last, so that what is drawn before stays as it was.
    suspends: random() < 0.5,
    stepPart: STEP_PARTS[pick(0, STEP_PARTS.length - 1)],
  };
}

/**
 * Draws the same day as `drawDay`, on which the operator also evacuates and restores zones.
 *
 * @example
 * const day = drawEvacuationDay(7);
 */
export function drawEvacuationDay(seed: number): QuorumDay {
  return {...drawDay(seed), evacuates: true};
}
