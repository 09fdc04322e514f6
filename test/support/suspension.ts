/**
 * Simulates a suspension of the machine as clocks show it: the wall clock advances by
 * its length, the monotonic clock does not.
 */
import {vi} from 'vitest';

/**
 * Advances the wall clock alone.
 *
 * @returns restores the wall clock, as when it is corrected
 */
export function suspend(ms: number): () => void {
  const now = Date.now.bind(Date);
  const spy = vi.spyOn(Date, 'now').mockImplementation(() => now() + ms);
  return () => spy.mockRestore();
}
