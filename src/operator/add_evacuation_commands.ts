/** Commands that stop new requests to the backend servers of an availability zone. */
import {OperatorError} from './operator_error';
import {ProgramContext} from './program_context';
import {readPrivateKey} from './read_private_key';

/**
 * Adds the commands `evacuate` and `restore`.
 *
 * @example
 * addEvacuationCommands(context);
 */
export function addEvacuationCommands(context: ProgramContext): void {
  const {program, createReporter, withClient} = context;
  for (const isEvacuated of [true, false]) {
    program
      .command(isEvacuated ? 'evacuate <zone>' : 'restore <zone>')
      .description(
        isEvacuated
          ? 'send no more requests to the backend servers of a zone'
          : 'send requests to the backend servers of a zone again',
      )
      .requiredOption('--key <file>', 'private key that signs the order')
      .addHelpText(
        'after',
        '\nWhich zones are evacuated: whinreel status\nWho ordered it: whinreel explain zone ZONE',
      )
      .action((zone: string, options: {key: string}) =>
        withClient(async client => {
          const key = readPrivateKey(options.key);
          const answer = await client.setEvacuation(zone, isEvacuated, key);
          const {isAccepted, reason} = answer;
          createReporter().report({
            type: 'evacuation-ordered',
            zone,
            isEvacuated,
            isAccepted,
            reason,
          });
          if (!isAccepted) {
            const info = {kind: 'refused'};
            throw new OperatorError({info}, 'the order was refused');
          }
        }),
      );
  }
}
