import {FailureScenario} from './fleet_simulator';

type What = FailureScenario['events'][number]['what'];

const HOSTS_PER_DOMAIN = 17;

function lose(
  host: string,
  at: number,
  what: What,
  forMs?: number,
): FailureScenario['events'] {
  const back =
    forMs === undefined ? [] : [{at: at + forMs, host, what: 'back' as const}];
  return [{at, host, what}, ...back];
}

function loseDomain(domain: number, at: number, what: What, forMs: number) {
  return Array.from({length: HOSTS_PER_DOMAIN}, (_, host) =>
    lose(`d${domain}h${host}`, at, what, forMs),
  ).flat();
}

/** The fixed failure sequences that repair decisions are scored on; times in milliseconds. */
export const failureScenarios: readonly FailureScenario[] = [
  {
    name: 'a member pauses for 3 s',
    events: lose('d0h0', 10_000, 'pause', 3_000),
  },
  {
    name: 'a member pauses for 10 s',
    events: lose('d0h0', 10_000, 'pause', 10_000),
  },
  {
    name: 'a member pauses for 30 s',
    events: lose('d0h0', 10_000, 'pause', 30_000),
  },
  {
    name: 'a member crashes, back after 45 s',
    events: lose('d0h0', 10_000, 'crash', 45_000),
  },
  {name: 'a member is lost for good', events: lose('d0h0', 10_000, 'crash')},
  {
    name: 'two groups of one domain lose a member for good, one spare',
    events: [
      ...lose('d0h0', 10_000, 'crash'),
      ...lose('d0h5', 20_000, 'crash'),
    ],
  },
  {
    name: 'a second member is lost just after the repair',
    events: [
      ...lose('d0h0', 10_000, 'crash'),
      ...lose('d0h1', 90_000, 'crash'),
    ],
  },
  {
    name: 'one host flaps: 5 s pauses, 8 times',
    events: Array.from({length: 8}, (_, at) =>
      lose('d0h0', 10_000 + at * 40_000, 'pause', 5_000),
    ).flat(),
  },
  {
    name: 'a domain goes dark for 120 s',
    events: loseDomain(0, 10_000, 'crash', 120_000),
  },
  {
    name: 'a switch blinks: a domain pauses for 6 s',
    events: loseDomain(0, 10_000, 'pause', 6_000),
  },
  {
    name: 'two domains pause for 4 s',
    events: [
      ...loseDomain(0, 10_000, 'pause', 4_000),
      ...loseDomain(1, 10_000, 'pause', 4_000),
    ],
  },
  {
    name: 'six hosts restart by turns, 20 s each',
    events: Array.from({length: 6}, (_, at) =>
      lose(`d${at}h0`, 10_000 + at * 30_000, 'crash', 20_000),
    ).flat(),
  },
];
