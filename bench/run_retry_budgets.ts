/** Prints how much of a shared retry budget gateways use under faults, and which retries callers get after a restart, by the way in which it is shared. */
import {createRandom} from '../test/support/create_random';
import {RetrySimulation} from '../test/support/retry_simulation';
import {STRATEGIES, createStrategy} from '../test/support/retry_strategies';

type Options = Parameters<typeof RetrySimulation.create>[0];
type Fleet = RetrySimulation;

const LIMITS = {ratio: 0.2, windowMs: 10_000, slack: 200};
const GATEWAYS = 5;
const DEMAND_PER_SECOND = 110;
/** Retries per second and gateway that callers want: with all of them, 0.7 of the budget. */
const WANTED_PER_SECOND = 6;
const SEED = 1;
const RUN_MS = 60_000;
const RESTART_AT_MS = 30_000;
const AFTER_RESTART_MS = 5_000;

interface Way {
  readonly name: string;
  readonly create: (options: Partial<Options>) => Fleet;
}

function create(options: Partial<Options>): Fleet {
  return RetrySimulation.create({
    gateways: GATEWAYS,
    limits: LIMITS,
    demandAt: () => DEMAND_PER_SECOND / GATEWAYS,
    random: createRandom(SEED),
    ...options,
  });
}

const WAYS: readonly Way[] = [
  ...Object.entries(STRATEGIES).map(([name, strategy]) => ({
    name,
    create: (options: Partial<Options>) => {
      const {changeLeader, createBudget} = createStrategy(strategy, LIMITS);
      const fleet = create({...options, createBudget});
      fleet.onLeaderChange = changeLeader;
      return fleet;
    },
  })),
  {name: 'own requests, and loans from the slack', create},
];

const LOADS: Readonly<Record<string, (way: Way) => Fleet>> = {
  calm: way => way.create({}),
  'one gateway has all requests': way =>
    way.create({
      demandAt: (_at, gateway) => (gateway === 0 ? DEMAND_PER_SECOND : 0),
    }),
  'all restart every 2 s': way => {
    const fleet = way.create({});
    fleet.repeat(2_000, () => fleet.restartAll());
    return fleet;
  },
  'the leader changes every 3 s': way => {
    const fleet = way.create({});
    fleet.repeat(3_000, () => fleet.changeLeader(250));
    return fleet;
  },
  both: way => {
    const fleet = way.create({});
    fleet.repeat(2_000, () => fleet.restartAll());
    fleet.repeat(3_000, () => fleet.changeLeader(250));
    return fleet;
  },
  'two of five cut off for 4 s in turn': way => {
    const fleet = way.create({});
    let next = 0;
    fleet.repeat(4_000, () => {
      fleet.cutOff(next % GATEWAYS, 4_000);
      fleet.cutOff((next + 1) % GATEWAYS, 4_000);
      next += 1;
    });
    return fleet;
  },
  'the requests move to another gateway every 4 s': way =>
    way.create({
      demandAt: (at, gateway) =>
        Math.floor(at / 4_000) % GATEWAYS === gateway ? DEMAND_PER_SECOND : 0,
    }),
};

/** The share of wanted retries that were granted in a time. */
function countGranted({decisions}: Fleet, from: number, to: number): string {
  const within = decisions.filter(({at}) => at >= from && at < to);
  const granted = within.filter(({isGranted}) => isGranted).length;
  return (granted / within.length).toFixed(2);
}

async function main(): Promise<void> {
  for (const way of WAYS) {
    console.log(way.name);
    for (const [load, start] of Object.entries(LOADS)) {
      const fleet = start(way);
      await fleet.run(RUN_MS);
      console.log(`  ${load}: ${fleet.measureUse().toFixed(2)} of the budget`);
    }
    const fleet = way.create({wantedAt: () => WANTED_PER_SECOND});
    fleet.time.after(RESTART_AT_MS, () => fleet.restartAll());
    await fleet.run(RUN_MS);
    const before = countGranted(fleet, RESTART_AT_MS / 2, RESTART_AT_MS);
    const restartedFor = RESTART_AT_MS + AFTER_RESTART_MS;
    const after = countGranted(fleet, RESTART_AT_MS, restartedFor);
    console.log(
      `  of ${WANTED_PER_SECOND} retries a second and gateway: ${before} granted before ` +
        `a restart of all, ${after} in the 5 s after it`,
    );
  }
}

void main();
