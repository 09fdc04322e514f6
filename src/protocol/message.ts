import {z} from 'zod';
import {ControlMessage} from './control_message';
import {FormationMessage} from './formation_message';
import {HelloMessage} from './hello_message';
import {MembershipMessage} from './membership_message';
import {RaftMessage} from './raft_message';
import {RequestMessage} from './request_message';

/** Every message between the system's own processes. */
export const Message = z.discriminatedUnion('type', [
  HelloMessage,
  RequestMessage,
  MembershipMessage,
  ControlMessage,
  RaftMessage,
  FormationMessage,
]);
export type Message = z.infer<typeof Message>;
