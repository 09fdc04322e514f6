/** Graceful shutdown, shared by all processes that serve requests. */
import {Clock} from './clock';
import {ShutdownSchedule} from './shutdown_schedule';

/** Interval between two checks for requests in progress. */
const POLL_INTERVAL_MS = 20;
/** Time for sending the final responses of abandoned requests. */
const FINAL_RESPONSES_MS = 100;

/** The process-specific parts of a graceful shutdown. */
interface ShutdownSteps {
  readonly schedule: ShutdownSchedule;
  readonly clock: Clock;
  /** Counts accepted requests whose responses have not been sent completely. */
  readonly countTaken: () => number;
  /** Counts requests without a complete response, including those being refused. */
  readonly countOpen: () => number;
  /** Closes the listening port, so that new connections are refused and callers try another process. */
  readonly stopAccepting: () => void;
  /** Abandons all requests in progress and sends each a final response. */
  readonly giveUp: () => void;
}

/** How a shutdown ended. */
interface ShutdownResult {
  /** Number of requests that were abandoned. */
  readonly givenUp: number;
}

/**
 * Waits until all accepted requests have their responses and the notice period is
 * over, stops accepting connections, and waits for the responses to the remaining requests.
 * Abandons what is left when the time is up. Connections are left to the caller to close.
 *
 * @returns how the shutdown ended
 * @example
 * const {givenUp} = await runGracefulShutdown({schedule, clock, countTaken, countOpen, stopAccepting, giveUp});
 */
export async function runGracefulShutdown(
  steps: ShutdownSteps,
): Promise<ShutdownResult> {
  const {schedule, clock, countTaken, countOpen} = steps;
  schedule.start(clock.now());
  const isTimeUp = () => schedule.isTimeUp(clock.now());
  const isDrained = () =>
    schedule.isNoticePeriodOver(clock.now()) && countTaken() === 0;
  // Requests being refused don't count here: a steady stream of them would delay the shutdown.
  await waitUntil(() => isDrained() || isTimeUp());
  steps.stopAccepting();
  await waitUntil(() => countOpen() === 0 || isTimeUp());
  const givenUp = countTaken();
  steps.giveUp();
  const responseDeadline = clock.now() + FINAL_RESPONSES_MS;
  await waitUntil(() => countOpen() === 0 || clock.now() >= responseDeadline);
  return {givenUp};
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
