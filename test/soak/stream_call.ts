import {SoakMachine} from './soak_machine';
import {SoakReply} from './soak_reply';

/** One request for a stream or for the rest of one, after its end. */
export interface StreamCall {
  /** Of the stream, over all requests for it. */
  readonly key: string;
  readonly requestId: string;
  /** Beginning of its path, which tells its route. */
  readonly route: string;
  /** Number of the last event that its caller had; 0 for a new stream. */
  readonly after: number;
  readonly entry: SoakMachine;
  readonly reply: SoakReply;
}
