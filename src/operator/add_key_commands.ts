import {createKeys} from './create_keys';
import {ProgramContext} from './program_context';

/**
 * Adds the subcommand `keys create`.
 *
 * @example
 * addKeyCommands(context);
 */
export function addKeyCommands(context: ProgramContext): void {
  const {program, createReporter} = context;
  const keys = program.command('keys').description('signing keys of operators');
  keys
    .command('create <name>')
    .description(
      'write NAME.pem (keep it secret) and NAME.pub.pem (give it to control)',
    )
    .addHelpText('after', '\nExample:\n  whinreel keys create alice')
    .action((name: string) => createKeys(name, createReporter()));
}
