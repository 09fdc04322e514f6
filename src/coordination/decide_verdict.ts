/** Judges one request by the backend servers that ended while it ran there. */
import {CrashEvidence} from './crash_evidence';

/** Two ends that have nothing to do with each other rarely hit the same request. */
const ENOUGH_ENDS = 2;
/** As many while others end, too: three ends in a row, each on a trial of its own. */
const ENOUGH_IN_WAVE = 3;
/** The same where it had begun to answer each time, as most requests have that are only near. */
const ENOUGH_BEGUN = 3;
/**
 * Ends within this of each other may have one cause. A rack or a series of crashes
 * is over within some seconds; a suspect is sent on 0.3 s after an end.
 */
const WAVE_MS = 2_000;

/** What a request is judged by. */
interface VerdictInput {
  readonly own: readonly CrashEvidence[];
  /** When other backend servers ended that no request explains. */
  readonly otherEnds: readonly number[];
  /** Another request that is not cleared was there each time. */
  readonly isAmbiguous: boolean;
}

/**
 * Decides whether gateways may send a request freely, on trial, or never.
 *
 * @returns `watched` where nothing but its presence speaks against it
 * @example
 * decideVerdict({own, otherEnds: [], isAmbiguous: false}); // 'convicted' after two ends
 */
export function decideVerdict(
  input: VerdictInput,
): 'watched' | 'suspected' | 'convicted' {
  const {own, otherEnds, isAmbiguous} = input;
  const notBegun = own.filter(({hadBegun}) => !hadBegun).length;
  const isInWave = own.some(({time}) =>
    otherEnds.some(other => Math.abs(other - time) <= WAVE_MS),
  );
  const isGuilty =
    notBegun >= (isInWave ? ENOUGH_IN_WAVE : ENOUGH_ENDS) ||
    (!isInWave && own.length >= ENOUGH_BEGUN);
  if (isGuilty && !isAmbiguous) {
    return 'convicted';
  }
  return notBegun > 0 || own.length >= ENOUGH_ENDS ? 'suspected' : 'watched';
}
