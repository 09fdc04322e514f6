import {OperatorEvent} from './operator_event';

/** Shows what a command has to tell. */
export interface OperatorReporter {
  report(event: OperatorEvent): void;
}
