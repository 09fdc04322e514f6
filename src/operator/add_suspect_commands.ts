/** Commands about requests that were running on backend servers when these crashed. */
import {OperatorError} from './operator_error';
import {ProgramContext} from './program_context';
import {readPrivateKey} from './read_private_key';

/**
 * Adds the subcommands `suspects list` and `suspects lift`.
 *
 * @example
 * addSuspectCommands(context);
 */
export function addSuspectCommands(context: ProgramContext): void {
  const {program, createReporter, withClient} = context;
  const suspects = program
    .command('suspects')
    .description('requests under which backend servers ended');
  suspects
    .command('list')
    .description('what is held against which request')
    .action(() =>
      withClient(async client => {
        const listed = await client.listSuspects();
        createReporter().report({type: 'suspects', suspects: listed});
      }),
    );
  suspects
    .command('lift <request>')
    .description('let a request run again that is never sent')
    .requiredOption('--key <file>', 'private key that signs the order')
    .addHelpText(
      'after',
      '\nExample:\n  whinreel suspects lift 0b5e… --key alice.pem\nWhat led to a verdict: whinreel explain request 0b5e…',
    )
    .action((name: string, options: {key: string}) =>
      withClient(async client => {
        const key = readPrivateKey(options.key);
        const {isAccepted, reason} = await client.revokeVerdict(name, key);
        const reporter = createReporter();
        reporter.report({type: 'verdict-lifted', name, isAccepted, reason});
        if (!isAccepted) {
          const info = {kind: 'refused'};
          throw new OperatorError({info}, 'the order was refused');
        }
      }),
    );
}
