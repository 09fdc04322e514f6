import {SoakMachine} from './soak_machine';
import {SoakReply} from './soak_reply';

/** One request of a caller, after its end. */
export interface SoakRequest {
  readonly id: string;
  /** Tells it from a request that was sent before with the same id and refused. */
  readonly key: string;
  /** Beginning of its path, which tells its route. */
  readonly route: string;
  readonly entry: SoakMachine;
  readonly reply: SoakReply;
}
