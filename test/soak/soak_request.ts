import {SoakMachine} from './soak_machine';
import {SoakReply} from './soak_reply';

/** One request of a caller, after its end. */
export interface SoakRequest {
  readonly id: string;
  /** Beginning of its path, which tells its route. */
  readonly route: string;
  readonly entry: SoakMachine;
  readonly reply: SoakReply;
}
