/** The steps of a planned stop, alike in every program that answers callers. */
import {Clock} from './clock';
import {ShutdownSchedule} from './shutdown_schedule';

/** Between two looks at what is under way. */
const LOOK_EVERY_MS = 20;
/** How long final answers may take to leave after the time was over, in milliseconds. */
const LAST_ANSWERS_MS = 100;

/** What a program does at each step. */
interface StopSteps {
  readonly schedule: ShutdownSchedule;
  readonly clock: Clock;
  /** Requests that were taken and whose answers have not left whole, to the last byte. */
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
 * Waits until what was taken has left whole, then until what else was read is
 * answered, and gives up what is left when the time is over. The caller closes
 * the rest after that.
 *
 * @returns how it ended
 * @example
 * const {givenUp} = await runStop({schedule, clock, countTaken, countOpen, stopAccepting, giveUp});
 */
export async function runGracefulShutdown(steps: StopSteps): Promise<StopEnd> {
  const {schedule, clock, countTaken, countOpen} = steps;
  schedule.start(clock.now());
  const isOver = () => schedule.isTimeUp(clock.now());
  const isFinished = () =>
    schedule.isNoticePeriodOver(clock.now()) && countTaken() === 0;
  // Refusals do not count here: callers that go on coming would hold the stop.
  await waitUntil(() => isFinished() || isOver());
  steps.stopAccepting();
  await waitUntil(() => countOpen() === 0 || isOver());
  const givenUp = countTaken();
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
