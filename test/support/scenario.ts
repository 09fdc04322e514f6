/** The schema of scenario files. */
import {z} from 'zod';

const Id = z.string();

const Link = z.strictObject({
  /** `*` stands for all processes; a host process has one link that all processes share. */
  from: Id.default('*'),
  to: Id,
  /** `broken` closes connections and refuses new ones; the others stall that direction with connections kept open. */
  way: z.enum(['both', 'forward', 'back', 'broken']).default('both'),
});

/** The argument of each kind of step; a step has exactly one of these keys. */
const STEP_SCHEMAS = {
  kill: Id,
  pause: Id,
  resume: Id,
  /** Sends SIGTERM without waiting; `waitFor: {gone: ID}` waits for the exit. */
  stop: Id,
  /** Restarts a process that was killed or stopped. */
  start: Id,
  loseDisk: Id,
  cut: Link,
  heal: Link,
  engine: z.strictObject({
    host: Id,
    tokenMs: z.number().optional(),
    breakAfterTokens: z.number().optional(),
    isLeaving: z.boolean().optional(),
    /** Holds back all responses, or releases them. */
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
    /** Leaves out the digest of the previous version, which is that of the newest by default. */
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
    /** Reads nothing of the response until the scenario ends. */
    isSlowReader: z.boolean().default(false),
    /** Retries while the outcome is `not-run`, as callers may. */
    isPatient: z.boolean().default(true),
    /** Retries until this outcome. */
    until: z.string().optional(),
  }),
  /** Waits for the response and checks it. */
  expect: z.strictObject({
    answer: Id,
    status: z.union([z.int(), z.array(z.int())]).optional(),
    outcome: z.union([z.string(), z.array(z.string())]).optional(),
    end: z.enum(['mark', 'error', 'whole', 'broken']).optional(),
    tokens: z.int().optional(),
    contains: z.string().optional(),
  }),
  /** Checks how often a request ran, as counted by the simulated engines. */
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
    /** This many voters are reachable from the leader and caught up, whichever disks they have. */
    votersReachable: z.int().optional(),
    /** A simulated engine runs this many requests. */
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
  /** Shutdown timeout of entry and host processes; their default when undefined. */
  stopWithinMs: z.int().optional(),
  /** All processes use mutual TLS. */
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

/** The parsed argument of each kind of step. */
export type StepArguments = {
  [K in keyof typeof STEP_SCHEMAS]: z.infer<(typeof STEP_SCHEMAS)[K]>;
};

/** A parsed scenario file. */
export type Scenario = z.infer<typeof Scenario>;

/** Parses a scenario file. Its steps are parsed one by one with `parseStep`. */
export function parseScenario(document: unknown): Scenario {
  return Scenario.parse(document);
}

/** Parses one step; throws if its kind is unknown or its argument is invalid. */
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
