import {BrokenPromises} from './broken_promises';
import {DrawnFleet} from './drawn_fleet';

/** What all doors of a run share. */
export interface DrawnWorld {
  readonly fleet: DrawnFleet;
  readonly broken: BrokenPromises;
  /** The next number that no other input of the run has had. */
  readonly takeNumber: () => number;
  /** In registrations of all sound servers: either each tells its start, or none does. */
  readonly start: {readonly born?: number};
  /** Notes what one input got: `caller 400`. */
  readonly countOutcome: (outcome: string) => void;
}
