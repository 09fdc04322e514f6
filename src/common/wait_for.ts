import {Timers} from './timers';

/**
 * Resolves after `ms` milliseconds of these timers.
 *
 * @example
 * await waitFor(systemTimers, 100);
 */
export function waitFor(timers: Timers, ms: number): Promise<void> {
  return new Promise(resolve => timers.delay(ms, resolve));
}
