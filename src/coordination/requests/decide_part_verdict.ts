/** Detects parts of prompts that crash backend servers, whatever else a request holds. */
import {CrashEvidence} from './crash_evidence';
import {PartHolder} from './part_holder';

/**
 * The first crash restricts nothing, as each crash hits requests with harmless parts. These are
 * proved harmless by the next response that begins, usually within a fraction of a second.
 */
const MIN_SUSPECTED_CRASHES = 2;
/** Crashes that convict a part, at other times than crashes that no part explains. */
const MIN_SEPARATE_CRASHES = 3;
/** The same at any time. */
const MIN_CRASHES = 4;
/** A single request that crashes each backend server proves nothing about its parts. */
const MIN_REQUESTS = 2;
/**
 * Backend servers that are lost for a common reason, such as a power failure, are lost within this
 * time, and prove nothing by themselves. Longer than it takes until a harmless part that many
 * requests share is proved to be so.
 */
const SIMULTANEOUS_MS = 300;

/** Evidence about one part since a response to a request with it last began. */
interface PartVerdictInput {
  readonly crashes: readonly CrashEvidence[];
  readonly holders: readonly PartHolder[];
  /** Times of crashes that neither a verdict nor a part under suspicion explains. */
  readonly otherCrashTimes: readonly number[];
  /** A part of other requests was present at each of the crashes, too. */
  readonly isAmbiguous: boolean;
}

/**
 * Decides whether gateways may send requests with a part freely, only in a trial, or never again.
 * No part is convicted without a crash in a trial, as crashes for another reason may hit any part.
 *
 * @example
 * decidePartVerdict({crashes, holders, otherCrashTimes: [], isAmbiguous: false}); // 'suspected'
 */
export function decidePartVerdict(
  input: PartVerdictInput,
): 'watched' | 'suspected' | 'convicted' {
  const {crashes, holders, otherCrashTimes, isAmbiguous} = input;
  if (crashes.length < MIN_SUSPECTED_CRASHES) {
    return 'watched';
  }
  const requests = new Set(holders.map(({request}) => request));
  // Crashes near one that no part explains may have the cause of that one.
  const separate = crashes.filter(({time}) =>
    otherCrashTimes.every(other => Math.abs(other - time) > SIMULTANEOUS_MS),
  );
  const times = crashes.map(({time}) => time);
  const hasEvidence =
    requests.size >= MIN_REQUESTS &&
    (separate.length >= MIN_SEPARATE_CRASHES ||
      crashes.length >= MIN_CRASHES) &&
    separate.some(({inTrial}) => inTrial) &&
    Math.max(...times) - Math.min(...times) > SIMULTANEOUS_MS;
  return hasEvidence && !isAmbiguous ? 'convicted' : 'suspected';
}
