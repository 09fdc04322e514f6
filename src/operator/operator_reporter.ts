import {OperatorResult} from './operator_result';

/** Shows what a command has to tell. */
export interface OperatorReporter {
  report(event: OperatorResult): void;
}
