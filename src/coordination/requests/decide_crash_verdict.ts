/** Detects requests that crash backend servers, from the crashes while they ran. */
import {CrashEvidence} from './crash_evidence';
import {CORRELATED_CRASH_WINDOW_MS} from './correlated_crash_window_ms';

/** Crashes that convict a request if no others happened near: two unrelated ones rarely hit the same request. */
const MIN_CRASHES = 2;
/** The same while other backend servers crash, too: three in a row, each in a trial of its own. */
const MIN_CORRELATED_CRASHES = 3;
/** The same if the response had started each time, as it has for most requests that are not the cause. */
const MIN_CRASHES_AFTER_START = 3;

/** Evidence about one request. */
interface VerdictInput {
  /** Crashes of backend servers while they ran the request. */
  readonly ownCrashes: readonly CrashEvidence[];
  /** Wall-clock milliseconds, as committed in the replicated log. */
  readonly now: number;
  /** Times of crashes of other backend servers that no request explains. */
  readonly otherCrashTimes: readonly number[];
  /** Another request that is not cleared ran there at each of the crashes. */
  readonly isAmbiguous: boolean;
}

/**
 * Decides whether gateways may send a request freely, only in a trial, or never again.
 *
 * @returns `watched` if there is no evidence beyond its presence at a crash
 * @example
 * // 'convicted' two seconds after the second crash before a response
 * decideCrashVerdict({ownCrashes, now, otherCrashTimes: [], isAmbiguous: false});
 */
export function decideCrashVerdict(
  input: VerdictInput,
): 'watched' | 'suspected' | 'convicted' {
  const {ownCrashes, now, otherCrashTimes, isAmbiguous} = input;
  const crashesBeforeStart = ownCrashes.filter(
    ({hadBegun}) => !hadBegun,
  ).length;
  const isCorrelated = ownCrashes.some(({time}) =>
    otherCrashTimes.some(
      other => Math.abs(other - time) <= CORRELATED_CRASH_WINDOW_MS,
    ),
  );
  // Correlated crashes can hit a harmless request twice; an immediate verdict would
  // refuse it permanently.
  const isWindowOver = ownCrashes.every(
    ({time}) => now - time >= CORRELATED_CRASH_WINDOW_MS,
  );
  const isIsolated = isWindowOver && !isCorrelated;
  const hasEvidence =
    crashesBeforeStart >= (isIsolated ? MIN_CRASHES : MIN_CORRELATED_CRASHES) ||
    (isIsolated && ownCrashes.length >= MIN_CRASHES_AFTER_START);
  if (hasEvidence && !isAmbiguous) {
    return 'convicted';
  }
  return crashesBeforeStart > 0 || ownCrashes.length >= MIN_CRASHES
    ? 'suspected'
    : 'watched';
}
