/** The command line of `whinreel`. */
import {writeFileSync} from 'node:fs';
import {Command, Option} from 'commander';
import {addressListSetting} from '../config/address_list_setting';
import {loadSecurity} from '../config/load_security';
import {Bundle} from '../protocol/bundle';
import {computeDigest} from '../protocol/compute_digest';
import {encodeCanonical} from '../protocol/encode_canonical';
import {signBundle} from '../protocol/sign_bundle';
import {compareBundles} from './compare_bundles';
import {createKeys} from './create_keys';
import {JsonReporter} from './json_reporter';
import {OperatorClient} from './operator_client';
import {OperatorError} from './operator_error';
import {OperatorReporter} from './operator_reporter';
import {readBundleFile} from './read_bundle_file';
import {readPrivateKey} from './read_private_key';
import {readSignedFile} from './read_signed_file';
import {TextReporter} from './text_reporter';

const LOOPBACK = '127.0.0.1';
const POLL_MS = 200;

/** Flags that every command takes. */
interface GlobalOptions {
  readonly control?: string;
  readonly json?: boolean;
  readonly timeoutMs: string;
  readonly tlsAuthority?: string;
  readonly tlsCertificate?: string;
  readonly tlsKey?: string;
}

/** Where the program's output goes. */
interface ProgramOutput {
  readonly write: (text: string) => void;
}

/**
 * Creates the command line.
 *
 * @example
 * await createProgram({write: text => process.stdout.write(text)}).parseAsync(process.argv);
 */
export function createProgram({write}: ProgramOutput): Command {
  const program = new Command('whinreel')
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
  const withClient = async (use: (client: OperatorClient) => Promise<void>) => {
    const client = connect(program.opts<GlobalOptions>());
    try {
      await use(client);
    } finally {
      client.close();
    }
  };
  addKeyCommands(program, createReporter);
  addBundleCommands(program, createReporter, withClient);
  addFleetCommands(program, createReporter, withClient);
  return program;
}

type WithClient = (
  use: (client: OperatorClient) => Promise<void>,
) => Promise<void>;

function addKeyCommands(
  program: Command,
  createReporter: () => OperatorReporter,
): void {
  const keys = program.command('keys').description('signing keys of operators');
  keys
    .command('create <name>')
    .description(
      'write NAME.pem (keep it secret) and NAME.pub.pem (give it to control)',
    )
    .addHelpText('after', '\nExample:\n  whinreel keys create alice')
    .action((name: string) => createKeys(name, createReporter()));
}

function addBundleCommands(
  program: Command,
  createReporter: () => OperatorReporter,
  withClient: WithClient,
): void {
  const bundle = program.command('bundle').description('what operators decide');
  bundle
    .command('check <file>')
    .description('check a bundle in YAML')
    .addHelpText('after', '\nExample:\n  whinreel bundle check bundle.yaml')
    .action((file: string) => {
      const checked = readBundleFile(file);
      const digest = computeDigest(encodeCanonical(checked));
      createReporter().report({
        type: 'bundle-checked',
        bundle: checked,
        digest,
      });
    });
  bundle
    .command('sign <file>')
    .description('check and sign a bundle')
    .requiredOption('--key <file>', 'private key')
    .requiredOption('--out <file>', 'where the signed bundle goes')
    .option(
      '--after <file>',
      'the signed bundle before this one; fills in "previous"',
    )
    .addHelpText(
      'after',
      '\nExample:\n  whinreel bundle sign v2.yaml --key alice.pem --after v1.signed.json --out v2.signed.json',
    )
    .action(
      (file: string, options: {key: string; out: string; after?: string}) => {
        signBundleFile(file, options, createReporter());
      },
    );
  bundle
    .command('show <file>')
    .description('show a signed bundle')
    .action((file: string) => {
      const {document} = readSignedFile(file);
      const shown = Bundle.parse(JSON.parse(document));
      createReporter().report({
        type: 'bundle-checked',
        bundle: shown,
        digest: computeDigest(document),
      });
    });
  bundle
    .command('diff <before> <after>')
    .description('compare two bundles in YAML')
    .action((before: string, after: string) => {
      const changes = compareBundles(
        readBundleFile(before),
        readBundleFile(after),
      );
      createReporter().report({type: 'bundle-compared', changes});
    });
  bundle
    .command('roll-out <file>')
    .description(
      'put a signed bundle in force; the same file may be sent again',
    )
    .option('--wait', 'wait until it is in force everywhere')
    .addHelpText(
      'after',
      '\nExample:\n  whinreel bundle roll-out v2.signed.json --wait',
    )
    .action((file: string, options: {wait?: boolean}) =>
      withClient(client =>
        rollOut(client, file, options.wait === true, createReporter()),
      ),
    );
  bundle
    .command('history')
    .description('accepted and refused bundles')
    .action(() =>
      withClient(async client => {
        const entries = await client.readJournal({subject: 'bundle', after: 0});
        createReporter().report({type: 'journal', entries});
      }),
    );
}

function addFleetCommands(
  program: Command,
  createReporter: () => OperatorReporter,
  withClient: WithClient,
): void {
  program
    .command('status')
    .description('bundle, groups and hosts as control sees them')
    .action(() =>
      withClient(async client => {
        createReporter().report({
          type: 'status',
          status: await client.readStatus(),
        });
      }),
    );
  program
    .command('watch')
    .description('decisions of control as they are made, until interrupted')
    .option('--from <index>', 'start behind this place in the log', '0')
    .action((options: {from: string}) =>
      withClient(client =>
        watch(client, Number(options.from), createReporter()),
      ),
    );
  program
    .command('explain <subject> <id>')
    .description(
      'what happened to a group, host, bundle or control process, and why',
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
          drain(client, hostId, isDraining, options.key, createReporter()),
        ),
      );
  }
}

function connect(options: GlobalOptions): OperatorClient {
  const parsed = addressListSetting.safeParse(options.control ?? '');
  if (!parsed.success) {
    const message =
      '--control (or WHINREEL_CONTROL): expected addresses like 10.0.0.1:7000';
    throw new OperatorError({info: {kind: 'usage'}}, message);
  }
  const security = loadSecurity(
    {...options, allowPlainTcp: 'false', logFormat: 'json'},
    LOOPBACK,
  );
  return OperatorClient.create({
    addresses: parsed.data,
    security,
    timeoutMs: Number(options.timeoutMs),
  });
}

function signBundleFile(
  file: string,
  options: {key: string; out: string; after?: string},
  reporter: OperatorReporter,
): void {
  const checked = readBundleFile(file);
  const previous = options.after
    ? computeDigest(readSignedFile(options.after).document)
    : checked.previous;
  const signed = signBundle(
    {...checked, previous},
    readPrivateKey(options.key),
  );
  writeFileSync(options.out, `${JSON.stringify(signed, null, 2)}\n`);
  reporter.report({
    type: 'bundle-signed',
    file: options.out,
    version: checked.version,
    digest: computeDigest(signed.document),
    keyId: signed.keyId,
  });
}

async function rollOut(
  client: OperatorClient,
  file: string,
  isWaiting: boolean,
  reporter: OperatorReporter,
): Promise<void> {
  const {isAccepted, reason, version, digest, keyId} = await client.rollOut(
    readSignedFile(file),
  );
  reporter.report({
    type: 'rolled-out',
    isAccepted,
    reason,
    version,
    digest,
    keyId,
  });
  if (!isAccepted) {
    throw new OperatorError(
      {info: {kind: 'refused'}},
      'the bundle was refused',
    );
  }
  while (isWaiting) {
    const {bundle} = await client.readStatus();
    if (bundle.version >= version && bundle.inForce === bundle.of) {
      reporter.report({type: 'in-force', ...bundle});
      return;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

async function drain(
  client: OperatorClient,
  hostId: string,
  isDraining: boolean,
  keyFile: string,
  reporter: OperatorReporter,
): Promise<void> {
  const answer = await client.drain(
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

async function watch(
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
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}
