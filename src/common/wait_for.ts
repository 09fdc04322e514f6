import {Timers} from './timers';

/**
 * Resolves after some milliseconds.
 *
 * @example
 * await waitFor(systemTimers, 100);
 */
export function waitFor(timers: Timers, ms: number): Promise<void> {
  return new Promise(resolve => timers.delay(ms, resolve));
}
