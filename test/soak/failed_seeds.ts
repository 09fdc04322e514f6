/** A seed that broke something once. */
interface FailedSeed {
  readonly seed: number;
  readonly cause: string;
}

const EMPTY_TABLE =
  'backend servers had registered before the first bundle, and gateways were told an empty table';

/**
 * Every seed that ever failed, with its cause, for good. A seed draws what is
 * done, not when processes answer, so one play of a seed says little alone.
 */
export const failedSeeds: readonly FailedSeed[] = [
  {seed: 2, cause: EMPTY_TABLE},
  {seed: 4, cause: EMPTY_TABLE},
  {seed: 101, cause: EMPTY_TABLE},
];
