/** Subcommands of `whinreel bundle`: check, sign, compare and roll out bundles. */
import {writeFileSync} from 'node:fs';
import {Bundle} from '../protocol/bundle';
import {computeDigest} from '../protocol/compute_digest';
import {encodeCanonicalJson} from '../protocol/encode_canonical_json';
import {signBundle} from '../protocol/sign_bundle';
import {compareBundles} from './compare_bundles';
import {OperatorClient} from './operator_client';
import {OperatorError} from './operator_error';
import {OperatorReporter} from './operator_reporter';
import {ProgramContext} from './program_context';
import {readBundleFile} from './read_bundle_file';
import {readPrivateKey} from './read_private_key';
import {readSignedBundle} from './read_signed_bundle';

const POLL_INTERVAL_MS = 200;

/**
 * Adds the subcommands `bundle check`, `sign`, `show`, `diff`, `roll-out` and `history`.
 *
 * @example
 * addBundleCommands(context);
 */
export function addBundleCommands(context: ProgramContext): void {
  const {program, createReporter, withClient} = context;
  const bundle = program.command('bundle').description('what operators decide');
  bundle
    .command('check <file>')
    .description('check a bundle in YAML')
    .addHelpText('after', '\nExample:\n  whinreel bundle check bundle.yaml')
    .action((file: string) => {
      const checked = readBundleFile(file);
      const digest = computeDigest(encodeCanonicalJson(checked));
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
      const {document} = readSignedBundle(file);
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
        rollOutBundle(client, file, options.wait === true, createReporter()),
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

/** Writes the signed form of a YAML bundle to `options.out`. */
function signBundleFile(
  file: string,
  options: {key: string; out: string; after?: string},
  reporter: OperatorReporter,
): void {
  const checked = readBundleFile(file);
  const previous = options.after
    ? computeDigest(readSignedBundle(options.after).document)
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

/**
 * Sends a signed bundle to control and, with `isWaiting`, polls until it is in
 * force on all hosts and entries.
 */
async function rollOutBundle(
  client: OperatorClient,
  file: string,
  isWaiting: boolean,
  reporter: OperatorReporter,
): Promise<void> {
  const {isAccepted, reason, version, digest, keyId} = await client.rollOut(
    readSignedBundle(file),
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
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
