/** What goes wrong with machines that keep running, by kind of event. */
import {DayStory} from './day_story';
import {LinkFaults} from './link_faults';
import {DayEvent, QuorumDay} from './quorum_day';
import {VirtualCuts} from './virtual_cuts';
import {VirtualMachine} from './virtual_machine';
import {VirtualTime} from './virtual_time';

type TroubleKind =
  | 'freeze'
  | 'cut'
  | 'split'
  | 'stall'
  | 'full'
  | 'step'
  | 'silence'
  | 'loss'
  | 'hang'
  | 'slow';

/** The parts of a day that the handlers work on. */
interface TroubleContext {
  readonly day: QuorumDay;
  readonly time: VirtualTime;
  readonly story: DayStory;
  readonly cuts: VirtualCuts;
  readonly linkFaults: LinkFaults;
  readonly pick: (at: number, isLeader?: boolean) => VirtualMachine;
  /** Notes until when a machine is troubled. */
  readonly trouble: (machine: VirtualMachine, forMs: number) => void;
  readonly listOthers: (side: readonly VirtualMachine[]) => string[];
  readonly checkAnswers: (machine: VirtualMachine) => boolean;
}

/**
 * Creates the handlers.
 *
 * @example
 * const handlers = createTroubleHandlers(context);
 * handlers.silence({at: 0, kind: 'silence', machine: 1});
 */
export function createTroubleHandlers(context: TroubleContext): {
  [T in TroubleKind]: (event: Extract<DayEvent, {kind: T}>) => void;
} {
  const {day, time, story, cuts, linkFaults} = context;
  const {pick, trouble, listOthers, checkAnswers} = context;
  return {
    freeze: ({machine, forMs, isAimed}) => {
      const frozen = pick(machine, isAimed);
      const {suspends, stepPart} = day;
      const how = suspends
        ? `is suspended (time set by ${stepPart})`
        : 'stands still';
      story.tell(`${frozen.name} ${how} for ${forMs} ms`);
      trouble(frozen, forMs);
      if (suspends) {
        frozen.suspend(forMs, forMs * stepPart);
      } else {
        frozen.freeze(forMs);
      }
      // Before it does anything else, so that what it believes as it wakes is seen.
      time.after(forMs, () => checkAnswers(frozen));
    },
    cut: ({machine, forMs, how}) => {
      const cut = pick(machine);
      story.tell(`${cut.name} is cut off (${how}) for ${forMs} ms`);
      trouble(cut, forMs);
      cuts.separate([cut.name], listOthers([cut]), forMs, how);
    },
    split: ({machine, forMs}) => {
      const side = [pick(machine), pick(machine + 1)];
      story.tell(
        `${side.map(({name}) => name).join(' and ')} are cut from the others for ${forMs} ms`,
      );
      const names = side.map(({name}) => name);
      cuts.separate(names, listOthers(side), forMs);
      side.forEach(cut => trouble(cut, forMs));
    },
    stall: ({machine, forMs}) => {
      const slow = pick(machine);
      story.tell(`the disk of ${slow.name} stalls for ${forMs} ms`);
      trouble(slow, forMs);
      slow.stallDisk(forMs);
    },
    full: ({machine, forMs}) => {
      const full = pick(machine);
      story.tell(`the disk of ${full.name} has no room for ${forMs} ms`);
      trouble(full, forMs);
      full.fillDisk(true);
      time.after(forMs, () => full.fillDisk(false));
    },
    step: ({machine, stepMs}) => {
      const stepped = pick(machine);
      story.tell(`the time of day of ${stepped.name} moves ${stepMs} ms`);
      stepped.stepClock(stepMs);
    },
    silence: ({machine}) => {
      const {name} = pick(machine);
      story.tell(`the connections of ${name} go silent`);
      linkFaults.silence(name);
    },
    loss: ({part, forMs}) => {
      story.tell(`${part} of all segments are lost for ${forMs} ms`);
      linkFaults.lose(part, forMs);
    },
    hang: ({machine, forMs}) => {
      const hung = pick(machine);
      story.tell(`the disk of ${hung.name} hangs for ${forMs} ms`);
      trouble(hung, forMs);
      hung.hangDisk(forMs);
    },
    slow: ({machine, forMs, factor}) => {
      const slow = pick(machine);
      story.tell(
        `the disk of ${slow.name} takes ${factor} times as long for ${forMs} ms`,
      );
      trouble(slow, forMs);
      slow.slowDisk(factor);
      time.after(forMs, () => slow.slowDisk(1));
    },
  };
}
