import {z} from 'zod';

/**
 * The outcomes of a request that are reported to its caller.
 *
 * - `answered`: the complete response was delivered.
 * - `not-run`: certainly never started; safe to retry.
 * - `failed`: ran, and failed completely or partially.
 * - `unknown`: may have run.
 */
export const RequestOutcome = z.enum([
  'answered',
  'not-run',
  'failed',
  'unknown',
]);
export type RequestOutcome = z.infer<typeof RequestOutcome>;
