/** Judges one request by the backend servers that ended while it ran there. */
import {CrashEvidence} from './crash_evidence';
import {CORRELATED_CRASH_WINDOW_MS} from './correlated_crash_window_ms';

/** Two ends that have nothing to do with each other rarely hit the same request. */
const ENOUGH_ENDS = 2;
/** As many while others end, too: three ends in a row, each on a trial of its own. */
const ENOUGH_IN_WAVE = 3;
/** The same where it had begun to answer each time, as most requests have that are only near. */
const ENOUGH_BEGUN = 3;

/** What a request is judged by. */
interface VerdictInput {
  readonly ownCrashes: readonly CrashEvidence[];
  /** Committed wall-clock milliseconds. */
  readonly now: number;
  /** When other backend servers ended that no request explains. */
  readonly otherCrashTimes: readonly number[];
  /** Another request that is not cleared was there each time. */
  readonly isAmbiguous: boolean;
}

/**
 * Decides whether gateways may send a request freely, on trial, or never.
 *
 * @returns `watched` where nothing but its presence speaks against it
 * @example
 * decideVerdict({own, now, otherEnds: [], isAmbiguous: false}); // 'convicted' some time after two ends
 */
export function decideCrashVerdict(
  input: VerdictInput,
): 'watched' | 'suspected' | 'convicted' {
  const {ownCrashes: own, now, otherCrashTimes: otherEnds, isAmbiguous} = input;
  const notBegun = own.filter(({hadBegun}) => !hadBegun).length;
  const isInWave = own.some(({time}) =>
    otherEnds.some(
      other => Math.abs(other - time) <= CORRELATED_CRASH_WINDOW_MS,
    ),
  );
  // Losses that come together end healthy requests twice, too: judged at once, these
  // would be refused for good.
  const isWaveOver = own.every(
    ({time}) => now - time >= CORRELATED_CRASH_WINDOW_MS,
  );
  const isAlone = isWaveOver && !isInWave;
  const isGuilty =
    notBegun >= (isAlone ? ENOUGH_ENDS : ENOUGH_IN_WAVE) ||
    (isAlone && own.length >= ENOUGH_BEGUN);
  if (isGuilty && !isAmbiguous) {
    return 'convicted';
  }
  return notBegun > 0 || own.length >= ENOUGH_ENDS ? 'suspected' : 'watched';
}
