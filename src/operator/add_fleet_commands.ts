/** Commands that read and change the state of the running fleet. */
import {Argument} from 'commander';
import {QuorumStatus} from '../protocol/quorum_status';
import {OperatorClient} from './operator_client';
import {OperatorError} from './operator_error';
import {OperatorReporter} from './operator_reporter';
import {parseWholeNumber} from './parse_whole_number';
import {ProgramContext} from './program_context';
import {readPrivateKey} from './read_private_key';

const POLL_INTERVAL_MS = 200;
const JOURNAL_SUBJECTS = [
  'group',
  'host',
  'zone',
  'bundle',
  'control',
  'request',
];

/**
 * Adds the commands `status`, `watch`, `explain`, `drain` and `undrain`.
 *
 * @example
 * addFleetCommands(context);
 */
export function addFleetCommands(context: ProgramContext): void {
  const {program, createReporter, withClient} = context;
  program
    .command('status')
    .description(
      'bundle, groups and hosts as control sees them; without a leader, why there is none',
    )
    .action(() => withClient(client => reportStatus(client, createReporter())));
  program
    .command('watch')
    .description('decisions of control as they are made, until interrupted')
    .option('--from <index>', 'start behind this place in the log', '0')
    .action((options: {from: string}) =>
      withClient(client =>
        watchJournal(
          client,
          parseWholeNumber('--from', options.from),
          createReporter(),
        ),
      ),
    );
  program
    .command('explain')
    .addArgument(new Argument('<subject>').choices(JOURNAL_SUBJECTS))
    .argument('<id>')
    .description(
      'what happened to a group, host, bundle, control process or suspected request, and why',
    )
    .addHelpText('after', '\nExample:\n  whinreel explain group assistant-1')
    .action((subject: string, id: string) =>
      withClient(async client => {
        const entries = await client.readJournal({subject, id, after: 0});
        createReporter().report({type: 'journal', entries});
      }),
    );
  for (const isDraining of [true, false]) {
    program
      .command(isDraining ? 'drain <host>' : 'undrain <host>')
      .description(
        isDraining
          ? 'take a host out of service'
          : 'put a host back into service',
      )
      .requiredOption('--key <file>', 'private key that signs the order')
      .action((hostId: string, options: {key: string}) =>
        withClient(client =>
          sendDrainOrder(
            client,
            hostId,
            isDraining,
            options.key,
            createReporter(),
          ),
        ),
      );
  }
}

/**
 * Reports the status that the leader knows. While no process knows a leader, reports
 * how each sees the quorum instead of waiting for one.
 */
async function reportStatus(
  client: OperatorClient,
  reporter: OperatorReporter,
): Promise<void> {
  const call = client.readStatus();
  const settled = call.then(
    () => undefined,
    () => undefined,
  );
  const processes = await Promise.race([settled, client.readQuorum()]);
  const answered = processes?.flatMap(({status}) => status ?? []) ?? [];
  const isLeaderless = answered.every(({leader}) => leader === null);
  if (processes && answered.length > 0 && isLeaderless) {
    reporter.report({type: 'quorum', processes});
    const info = {kind: 'unreachable'};
    throw new OperatorError({info}, '%s', explainQuorum(answered));
  }
  reporter.report({type: 'status', status: await call});
}

/** Returns the explanation of the process with the newest log, which is the one to be elected. */
function explainQuorum(answered: readonly QuorumStatus[]): string {
  const [newest] = [...answered].sort(
    (left, right) =>
      right.lastTerm - left.lastTerm || right.lastIndex - left.lastIndex,
  );
  return newest.explanation;
}

/** Signs and sends an order to drain a host, or to end its drain. */
async function sendDrainOrder(
  client: OperatorClient,
  hostId: string,
  isDraining: boolean,
  keyFile: string,
  reporter: OperatorReporter,
): Promise<void> {
  const answer = await client.setDraining(
    hostId,
    isDraining,
    readPrivateKey(keyFile),
  );
  const {isAccepted, reason} = answer;
  reporter.report({
    type: 'drain-ordered',
    hostId,
    isDraining,
    isAccepted,
    reason,
  });
  if (!isAccepted) {
    throw new OperatorError({info: {kind: 'refused'}}, 'the order was refused');
  }
}

/** Polls the journal and prints new entries until the process is interrupted. */
async function watchJournal(
  client: OperatorClient,
  from: number,
  reporter: OperatorReporter,
): Promise<void> {
  let after = from;
  for (;;) {
    const entries = await client.readJournal({after});
    if (entries.length > 0) {
      after = entries[entries.length - 1].index;
      reporter.report({type: 'journal', entries});
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
