import {OperatorResult} from './operator_result';

/** Prints the results of a command. */
export interface OperatorReporter {
  report(result: OperatorResult): void;
}
