/** Decides which requests for a model may begin at any gateway, from the queues of all gateways. */
import {ReportedLevel} from './reported_level';

/**
 * Reports that are older no longer close levels: gateways report every 250 ms, so that
 * the queue of a live gateway has been reported more recently.
 */
const VALID_MS = 300;
/**
 * Waiting requests count once the gateway has reported some for this long without a
 * report in between that had none: a request whose slot is being claimed waits for one
 * check (20 ms) and must not close the other levels.
 */
const MIN_WAITING_MS = 100;
/**
 * A level is closed when this many gateways, or a quarter of a smaller number, lack slots
 * for a more urgent one. Closing for any single gateway left a quarter of the slots of 16
 * gateways unused, since one of them often waits for a slot that is free elsewhere.
 */
const MIN_SHORT_GATEWAYS = 4;
const MIN_SHORT_FRACTION = 0.25;

/**
 * Sums arrivals by urgency, and returns the most urgent level that lacks slots at
 * several gateways; less urgent levels must wait for it.
 *
 * @param levels of all gateways, at most one of each gateway for an urgency
 * @param gateways number of gateways that report queues
 * @returns `admittedUrgency`: null if no level lacks slots
 * @example
 * const {admittedUrgency, arrivals} = decideModelAdmission(levels, 16);
 */
export function decideModelAdmission(
  levels: readonly ReportedLevel[],
  gateways: number,
) {
  const rates = new Map<number, number>();
  const short = new Map<number, number>();
  for (const level of levels) {
    const {urgency, requestsPerSecond} = level;
    rates.set(urgency, (rates.get(urgency) ?? 0) + requestsPerSecond);
    if (isShort(level)) {
      short.set(urgency, (short.get(urgency) ?? 0) + 1);
    }
  }
  const minShort = Math.min(
    MIN_SHORT_GATEWAYS,
    Math.ceil(gateways * MIN_SHORT_FRACTION),
  );
  const lacking = [...short].filter(([, count]) => count >= minShort);
  const admittedUrgency =
    lacking.length > 0 ? Math.min(...lacking.map(([level]) => level)) : null;
  const arrivals = [...rates]
    .map(([urgency, rate]) => ({urgency, requestsPerSecond: rate}))
    .sort((left, right) => left.urgency - right.urgency);
  return {admittedUrgency, arrivals};
}

function isShort({
  ageMs,
  waitingForMs = -Infinity,
  refusedMsAgo = Infinity,
}: ReportedLevel): boolean {
  const isWaiting = ageMs <= VALID_MS && waitingForMs >= MIN_WAITING_MS;
  return isWaiting || ageMs + refusedMsAgo <= VALID_MS;
}
