import {VirtualMachine} from './virtual_machine';

/** One way for a machine to stop. */
interface Stop {
  readonly words: string;
  readonly act: (machine: VirtualMachine) => void;
}

/** The ways in which machines stop. */
export const STOPS = {
  kill: {words: 'the process ends', act: machine => machine.kill()},
  power: {words: 'loses power', act: machine => machine.losePower()},
  wipe: {words: 'loses its disk', act: machine => machine.wipe()},
} satisfies Record<string, Stop>;
