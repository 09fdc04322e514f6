import {FailureScenario} from './fleet_simulator';

type FailureType = FailureScenario['events'][number]['type'];

const HOSTS_PER_DOMAIN = 17;

function createFailure(
  host: string,
  at: number,
  type: FailureType,
  downMs?: number,
): FailureScenario['events'] {
  const recovery =
    downMs === undefined
      ? []
      : [{at: at + downMs, host, type: 'back' as const}];
  return [{at, host, type}, ...recovery];
}

function createDomainFailure(
  domain: number,
  at: number,
  type: FailureType,
  downMs: number,
) {
  return Array.from({length: HOSTS_PER_DOMAIN}, (_, host) =>
    createFailure(`d${domain}h${host}`, at, type, downMs),
  ).flat();
}

/** The fixed failure scenarios on which repair policies are scored; times in milliseconds. */
export const failureScenarios: readonly FailureScenario[] = [
  {
    name: 'a member pauses for 3 s',
    events: createFailure('d0h0', 10_000, 'pause', 3_000),
  },
  {
    name: 'a member pauses for 10 s',
    events: createFailure('d0h0', 10_000, 'pause', 10_000),
  },
  {
    name: 'a member pauses for 30 s',
    events: createFailure('d0h0', 10_000, 'pause', 30_000),
  },
  {
    name: 'a member crashes, back after 45 s',
    events: createFailure('d0h0', 10_000, 'crash', 45_000),
  },
  {
    name: 'a member is lost for good',
    events: createFailure('d0h0', 10_000, 'crash'),
  },
  {
    name: 'two groups of one domain lose a member for good, one spare',
    events: [
      ...createFailure('d0h0', 10_000, 'crash'),
      ...createFailure('d0h5', 20_000, 'crash'),
    ],
  },
  {
    name: 'a second member is lost just after the repair',
    events: [
      ...createFailure('d0h0', 10_000, 'crash'),
      ...createFailure('d0h1', 90_000, 'crash'),
    ],
  },
  {
    name: 'one host flaps: 5 s pauses, 8 times',
    events: Array.from({length: 8}, (_, at) =>
      createFailure('d0h0', 10_000 + at * 40_000, 'pause', 5_000),
    ).flat(),
  },
  {
    name: 'a domain goes dark for 120 s',
    events: createDomainFailure(0, 10_000, 'crash', 120_000),
  },
  {
    name: 'a switch blinks: a domain pauses for 6 s',
    events: createDomainFailure(0, 10_000, 'pause', 6_000),
  },
  {
    name: 'two domains pause for 4 s',
    events: [
      ...createDomainFailure(0, 10_000, 'pause', 4_000),
      ...createDomainFailure(1, 10_000, 'pause', 4_000),
    ],
  },
  {
    name: 'six hosts restart by turns, 20 s each',
    events: Array.from({length: 6}, (_, at) =>
      createFailure(`d${at}h0`, 10_000 + at * 30_000, 'crash', 20_000),
    ).flat(),
  },
];
