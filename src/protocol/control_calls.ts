import {ControlMessage} from './control_message';
import {MessageOf} from './message_of';

/** The type of the answer to each type of call. */
interface Answers {
  'host-report': 'host-directive';
  'entry-report': 'entry-directive';
  'claim-ask': 'claim-answer';
  'claim-resolve': 'claim-resolved';
  'roll-out-ask': 'roll-out-answer';
  'status-ask': 'status-answer';
  'journal-ask': 'journal-answer';
  'drain-ask': 'drain-answer';
  'evacuation-ask': 'evacuation-answer';
  'channel-bundle-ask': 'channel-bundle-answer';
  'source-ask': 'source-answer';
  'registration-ask': 'registration-answer';
  'departure-ask': 'registration-answer';
  'gateway-ask': 'gateway-answer';
  'leaving-ask': 'leaving-answer';
  'permit-ask': 'permit-answer';
  'retry-loan-ask': 'retry-loan-answer';
  'ends-ask': 'ends-answer';
  'trial-ask': 'trial-answer';
  'suspects-ask': 'suspects-answer';
  'lift-ask': 'lift-answer';
  'leader-ask': 'leader-answer';
  'quorum-ask': 'quorum-answer';
}
type WithoutCallId<T> = T extends unknown ? Omit<T, 'call'> : never;

/** Type map of the calls that control answers: the leader, and any process for `quorum-ask`. */
export interface ControlCalls {
  readonly type: keyof Answers;
  readonly request: WithoutCallId<MessageOf<ControlMessage, keyof Answers>>;
  readonly answers: Answers;
}
