/** The small language of scenarios: what a file may say. */
import {z} from 'zod';

const Id = z.string();

const Link = z.strictObject({
  /** `*` stands for everybody; a host is reached by everybody through one link. */
  from: Id.default('*'),
  to: Id,
  /** Silence keeps connections open; otherwise they are reset and refused. */
  way: z.enum(['both', 'forward', 'back', 'broken']).default('both'),
});

/** Each step has one of these keys. */
const STEP_SCHEMAS = {
  kill: Id,
  pause: Id,
  resume: Id,
  /** Sends SIGTERM and goes on; `waitFor: {gone: ID}` waits for its end. */
  stop: Id,
  /** Starts a process again that was killed or stopped. */
  start: Id,
  loseDisk: Id,
  cut: Link,
  heal: Link,
  engine: z.strictObject({
    host: Id,
    tokenMs: z.number().optional(),
    breakAfterTokens: z.number().optional(),
    isLeaving: z.boolean().optional(),
    /** Holds every answer back, or lets it go again. */
    hold: z.boolean().optional(),
  }),
  rollOut: z.strictObject({
    as: z.string().default('roll-out'),
    version: z.int().optional(),
    replicas: z.record(z.string(), z.int()).optional(),
    /** Signs with a key that control does not know. */
    isForged: z.boolean().default(false),
    /** Sends the file of an earlier roll-out again. */
    again: z.string().optional(),
    /** The version before that it was made from; the newest by default. */
    isMadeFromNothing: z.boolean().default(false),
  }),
  expectRollOut: z.strictObject({
    as: z.string().default('roll-out'),
    isAccepted: z.boolean(),
    reason: z.string().optional(),
  }),
  drain: Id,
  send: z.strictObject({
    as: Id,
    at: Id.default('entry-1'),
    kind: z.enum(['stream', 'whole', 'service']).default('service'),
    path: z.string().default('/any'),
    body: z.string(),
    tokens: z.int().optional(),
    key: z.string().optional(),
    isOnce: z.boolean().default(false),
    deadlineMs: z.int().optional(),
    /** Reads nothing of the answer until the scenario ends. */
    isSlowReader: z.boolean().default(false),
    /** Asks again for as long as it is told that nothing ran, as callers may. */
    isPatient: z.boolean().default(true),
    /** Asks again until it is told this outcome. */
    until: z.string().optional(),
  }),
  /** Waits for the answer and checks it. */
  expect: z.strictObject({
    answer: Id,
    status: z.union([z.int(), z.array(z.int())]).optional(),
    outcome: z.union([z.string(), z.array(z.string())]).optional(),
    end: z.enum(['mark', 'error', 'whole', 'broken']).optional(),
    tokens: z.int().optional(),
    contains: z.string().optional(),
  }),
  /** Checks how often something ran, by the stand-ins' own count. */
  expectRuns: z.strictObject({
    body: z.string(),
    count: z.int().optional(),
    atMost: z.int().optional(),
  }),
  waitFor: z.strictObject({
    serving: z.int().optional(),
    group: z
      .strictObject({
        id: Id,
        isServing: z.boolean().optional(),
        without: Id.optional(),
        with: Id.optional(),
        epochAtLeast: z.int().optional(),
      })
      .optional(),
    noGroup: Id.optional(),
    bundleEverywhere: z.int().optional(),
    leaderIsNot: Id.optional(),
    /** Every voter is reachable from the leader, under whatever disk. */
    votersReachable: z.int().optional(),
    /** A stand-in runs this many requests. */
    running: z.strictObject({host: Id, count: z.int()}).optional(),
    gone: Id.optional(),
    ready: Id.optional(),
    notReady: Id.optional(),
    answered: Id.optional(),
  }),
  remember: z.strictObject({leader: Id}),
  expectExit: z.strictObject({process: Id, code: z.int()}),
} as const;

const Host = z.strictObject({
  domain: z.string(),
  zone: z.string().default('zone-1'),
  model: z.string().optional(),
  service: z.string().optional(),
  honoursFencing: z.boolean().default(true),
  tokenMs: z.number().optional(),
});

const Scenario = z.strictObject({
  title: z.string(),
  promise: z.string(),
  controls: z.int().default(3),
  entries: z.int().default(1),
  snapshotEvery: z.int().optional(),
  /** How long an entry or a host process may take to stop; its own default otherwise. */
  stopWithinMs: z.int().optional(),
  /** All processes talk mutual TLS. */
  isTls: z.boolean().default(false),
  hosts: z.record(z.string(), Host),
  models: z
    .array(
      z.strictObject({
        name: z.string(),
        replicas: z.int(),
        hostsPerReplica: z.int(),
      }),
    )
    .default([]),
  services: z
    .array(z.strictObject({name: z.string(), replicas: z.int()}))
    .default([]),
  steps: z.array(z.record(z.string(), z.unknown())),
});

/** What one kind of step takes. */
export type StepArguments = {
  [K in keyof typeof STEP_SCHEMAS]: z.infer<(typeof STEP_SCHEMAS)[K]>;
};

/** A scenario as its file says. */
export type Scenario = z.infer<typeof Scenario>;

/** Checks a scenario, naming the step that is wrong. */
export function parseScenario(document: unknown): Scenario {
  return Scenario.parse(document);
}

/** Checks one step. */
export function parseStep(step: Record<string, unknown>): {
  name: keyof StepArguments;
  value: StepArguments[keyof StepArguments];
} {
  const [name, ...others] = Object.keys(step);
  if (others.length > 0 || !(name in STEP_SCHEMAS)) {
    throw new Error(`unknown step: ${JSON.stringify(step)}`);
  }
  const key = name as keyof StepArguments;
  return {name: key, value: STEP_SCHEMAS[key].parse(step[name])};
}
