import {readFileSync} from 'node:fs';
import {UsageError} from '../config/usage_error';
import {explainRequest} from './explain_request';
import {ProgramContext} from './program_context';

/**
 * Adds the subcommand `logs explain`.
 *
 * @example
 * addLogCommands(context);
 */
export function addLogCommands(context: ProgramContext): void {
  const {program, createReporter} = context;
  const logs = program.command('logs').description('logs of the fleet');
  logs
    .command('explain <request-id> <files...>')
    .description('show what decided the outcome of one request')
    .addHelpText(
      'after',
      '\nExample:\n  whinreel logs explain 9c41d07be2a35f68 entry.log control.log',
    )
    .action((id: string, files: string[]) => {
      const text = files.map(readLogFile).join('\n');
      const lines = explainRequest(text, id);
      if (lines.length === 0) {
        throw new UsageError('no line of these logs names the request %s', id);
      }
      createReporter().report({type: 'log-explained', lines});
    });
}

function readLogFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new UsageError('cannot read %s: %s', file, (error as Error).message);
  }
}
