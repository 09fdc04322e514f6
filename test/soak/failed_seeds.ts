/** A seed that broke something once. */
interface FailedSeed {
  readonly seed: number;
  readonly cause: string;
}

const EMPTY_TABLE =
  'backend servers had registered before the first bundle, and gateways were told an empty table';
const FOREIGN_REFUSAL =
  'a late copy of a refusal was taken for the answer to a request that ran';
const CONTRADICTORY_MARK =
  'a mark on a status of a request that ran was taken for a refusal';

/**
 * Every seed that ever failed, with its cause, for good. A seed draws what is
 * done, not when processes answer, so one play of a seed says little alone.
 */
export const failedSeeds: readonly FailedSeed[] = [
  {seed: 2, cause: EMPTY_TABLE},
  {seed: 4, cause: EMPTY_TABLE},
  {seed: 101, cause: EMPTY_TABLE},
  {seed: 9, cause: FOREIGN_REFUSAL},
  {seed: 1151, cause: CONTRADICTORY_MARK},
];
