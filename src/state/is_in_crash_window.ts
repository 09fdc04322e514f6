import {CORRELATED_CRASH_WINDOW_MS} from '../coordination/requests/correlated_crash_window_ms';
import {Suspect} from './suspect';

/**
 * Whether a suspect was present at two crashes before a response started, and the time in which
 * other crashes count as correlated is not over.
 *
 * @example
 * const mustWait = isInCrashWindow(suspect, now);
 */
export function isInCrashWindow({crashes}: Suspect, now: number): boolean {
  const notBegun = crashes.filter(({hadBegun}) => !hadBegun);
  const newest = Math.max(...crashes.map(({time}) => time));
  return notBegun.length > 1 && now - newest < CORRELATED_CRASH_WINDOW_MS;
}
