import {z} from 'zod';

/**
 * The only four outcomes that a caller can be told.
 *
 * - `answered`: the whole answer was delivered.
 * - `not-run`: truly never started; safe to ask again.
 * - `failed`: ran, and failed in whole or in part.
 * - `unknown`: may have run.
 */
export const RequestOutcome = z.enum([
  'answered',
  'not-run',
  'failed',
  'unknown',
]);
export type RequestOutcome = z.infer<typeof RequestOutcome>;
