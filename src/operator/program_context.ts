import {Command} from 'commander';
import {OperatorClient} from './operator_client';
import {OperatorReporter} from './operator_reporter';

/** What the commands of the program share. */
export interface ProgramContext {
  readonly program: Command;
  /** The reporter that the global flags ask for. */
  readonly createReporter: () => OperatorReporter;
  /** Connects as the global flags say, and closes afterwards. */
  readonly withClient: (
    use: (client: OperatorClient) => Promise<void>,
  ) => Promise<void>;
}
