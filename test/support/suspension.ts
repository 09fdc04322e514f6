/**
 * A suspension of this process's machine, as its clocks show it: the time of day
 * goes on by its length, the steady clock does not.
 */
import {vi} from 'vitest';

/**
 * Lets time pass that the steady clock does not count.
 *
 * @returns ends it, as a clock that is set right
 */
export function suspend(ms: number): () => void {
  const now = Date.now.bind(Date);
  const spy = vi.spyOn(Date, 'now').mockImplementation(() => now() + ms);
  return () => spy.mockRestore();
}
