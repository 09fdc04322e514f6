import {Command} from 'commander';
import {OperatorClient} from './operator_client';
import {OperatorReporter} from './operator_reporter';

/** Dependencies that the commands of `whinreel` share. */
export interface ProgramContext {
  readonly program: Command;
  /** Creates the reporter that the global flags select. */
  readonly createReporter: () => OperatorReporter;
  /** Runs `action` with a client that the global flags configure, then closes the client. */
  readonly withClient: (
    action: (client: OperatorClient) => Promise<void>,
  ) => Promise<void>;
}
