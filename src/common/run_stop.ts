/** The steps of a planned stop, alike in every program that answers callers. */
import {Clock} from './clock';
import {StopSchedule} from './stop_schedule';

/** Between two looks at what is under way. */
const LOOK_EVERY_MS = 20;
/** How long the last answers may take to leave, once nothing is worked on. */
const LAST_ANSWERS_MS = 300;

/** What a program does at each step. */
interface StopSteps {
  readonly schedule: StopSchedule;
  readonly clock: Clock;
  /** Requests that were taken and have no whole answer yet. */
  readonly countTaken: () => number;
  /** Requests that were read and not answered, those being refused among them. */
  readonly countOpen: () => number;
  /** From now on a new connection meets a closed port, and its caller goes elsewhere. */
  readonly stopAccepting: () => void;
  /** Ends what is still worked on, each with its final answer. */
  readonly giveUp: () => void;
}

/** How a stop ended. */
interface StopEnd {
  /** Requests that were given up. */
  readonly givenUp: number;
}

/**
 * Waits until what was taken is finished, or until the time is over; then until
 * the last answers have left. The caller closes what is left after that.
 *
 * @returns how it ended
 * @example
 * const {givenUp} = await runStop({schedule, clock, countTaken, countOpen, stopAccepting, giveUp});
 */
export async function runStop(steps: StopSteps): Promise<StopEnd> {
  const {schedule, clock, countTaken, countOpen} = steps;
  schedule.begin(clock.now());
  const isFinished = () =>
    schedule.isNoticed(clock.now()) && countTaken() === 0;
  await waitUntil(() => isFinished() || schedule.isOver(clock.now()));
  const givenUp = countTaken();
  steps.stopAccepting();
  steps.giveUp();
  const until = clock.now() + LAST_ANSWERS_MS;
  await waitUntil(() => countOpen() === 0 || clock.now() >= until);
  return {givenUp};
}

async function waitUntil(probe: () => boolean): Promise<void> {
  while (!probe()) {
    await new Promise(resolve => setTimeout(resolve, LOOK_EVERY_MS));
  }
}
