/** Command line of `whinreel`, the operators' tool. */
import {Command, Option} from 'commander';
import {addressListSetting} from '../config/address_list_setting';
import {loadTransportSecurity} from '../config/load_transport_security';
import {addBundleCommands} from './add_bundle_commands';
import {addEvacuationCommands} from './add_evacuation_commands';
import {addFleetCommands} from './add_fleet_commands';
import {addKeyCommands} from './add_key_commands';
import {addLogCommands} from './add_log_commands';
import {addSuspectCommands} from './add_suspect_commands';
import {JsonReporter} from './json_reporter';
import {OperatorClient} from './operator_client';
import {OperatorError} from './operator_error';
import {OperatorReporter} from './operator_reporter';
import {parseWholeNumber} from './parse_whole_number';
import {TextReporter} from './text_reporter';

const LOOPBACK = '127.0.0.1';

/** Flags that apply to every command. */
interface GlobalOptions {
  readonly control?: string;
  readonly json?: boolean;
  readonly timeoutMs: string;
  readonly tlsAuthority?: string;
  readonly tlsCertificate?: string;
  readonly tlsKey?: string;
}

/** Where the program writes its output. */
interface ProgramOutput {
  readonly write: (text: string) => void;
}

/**
 * Creates the command line with all commands.
 *
 * @example
 * await createProgram({write: text => process.stdout.write(text)}).parseAsync(process.argv);
 */
export function createProgram({write}: ProgramOutput): Command {
  const program = new Command('whinreel')
    // Subcommands inherit this setting only when they are added after it.
    .exitOverride()
    .description(
      'Bundles, status and explanations for the operators of a whinreel fleet.',
    )
    .addOption(
      new Option(
        '--control <addresses>',
        'control processes, comma-separated',
      ).env('WHINREEL_CONTROL'),
    )
    .addOption(
      new Option('--timeout-ms <ms>', 'for each call')
        .env('WHINREEL_TIMEOUT_MS')
        .default('5000'),
    )
    .addOption(
      new Option('--tls-authority <file>').env('WHINREEL_TLS_AUTHORITY'),
    )
    .addOption(
      new Option('--tls-certificate <file>').env('WHINREEL_TLS_CERTIFICATE'),
    )
    .addOption(new Option('--tls-key <file>').env('WHINREEL_TLS_KEY'))
    .option('--json', 'one line of JSON for each result');
  const createReporter = (): OperatorReporter =>
    program.opts<GlobalOptions>().json
      ? JsonReporter.create(write)
      : TextReporter.create(write);
  const withClient = async (
    action: (client: OperatorClient) => Promise<void>,
  ) => {
    const client = connect(program.opts<GlobalOptions>());
    try {
      await action(client);
    } finally {
      client.close();
    }
  };
  const context = {program, createReporter, withClient};
  addKeyCommands(context);
  addLogCommands(context);
  addBundleCommands(context);
  addFleetCommands(context);
  addEvacuationCommands(context);
  addSuspectCommands(context);
  return program;
}

function connect(options: GlobalOptions): OperatorClient {
  const parsed = addressListSetting.safeParse(options.control ?? '');
  if (!parsed.success) {
    const message =
      '--control (or WHINREEL_CONTROL): expected addresses like 10.0.0.1:7000';
    throw new OperatorError({info: {kind: 'usage'}}, message);
  }
  // The tool accepts no connections; the loopback address lets it use plain TCP without TLS files.
  const security = loadTransportSecurity(
    {...options, allowPlainTcp: 'false', logFormat: 'json'},
    LOOPBACK,
  );
  return OperatorClient.create({
    addresses: parsed.data,
    security,
    timeoutMs: parseWholeNumber('--timeout-ms', options.timeoutMs),
  });
}
