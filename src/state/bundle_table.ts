/** Accepted bundles: the newest in full, earlier ones by version and digest only. */
import {z} from 'zod';
import {computeDigest} from '../protocol/compute_digest';
import {SignedBundle} from '../protocol/signed_bundle';
import {Bundle} from '../protocol/bundle';
import {CommandResult} from './command_result';

const AcceptedBundle = z.object({
  version: z.int(),
  digest: z.string(),
  keyId: z.string(),
  time: z.number(),
});
type AcceptedBundle = z.infer<typeof AcceptedBundle>;

const Snapshot = z.object({
  history: z.array(AcceptedBundle),
  signed: SignedBundle.optional(),
});

/** Accepts a bundle only if it directly succeeds the one in force. */
export class BundleTable {
  private document: Bundle | undefined;

  private constructor(
    private readonly history: AcceptedBundle[],
    private signedBundle: SignedBundle | undefined,
  ) {
    this.document =
      signedBundle && Bundle.parse(JSON.parse(signedBundle.document));
  }

  /**
   * Creates an empty table, or one from a snapshot.
   *
   * @example
   * const bundles = BundleTable.create();
   */
  static create(snapshot?: unknown): BundleTable {
    const {history, signed} = Snapshot.parse(snapshot ?? {history: []});
    return new BundleTable([...history], signed);
  }

  /** The bundle in force. */
  get bundle(): Bundle | undefined {
    return this.document;
  }

  /** The bundle in force with its signature. */
  get signed(): SignedBundle | undefined {
    return this.signedBundle;
  }

  /** Version in force; 0 if there is none yet. */
  get version(): number {
    return this.history.at(-1)?.version ?? 0;
  }

  /** Every accepted version, oldest first. */
  list(): readonly AcceptedBundle[] {
    return this.history;
  }

  /**
   * Accepts the next version. A bundle that was accepted before gets the same answer
   * again; a refusal names the version that is in force.
   */
  rollOut(signed: SignedBundle, time: number): CommandResult {
    const bundle = Bundle.parse(JSON.parse(signed.document));
    const digest = computeDigest(signed.document);
    const current = this.history.at(-1);
    const earlier = this.history.find(accepted => accepted.digest === digest);
    if (earlier) {
      return {isAccepted: true, reason: 'accepted earlier', bundle: earlier};
    }
    const refusal = findRefusal(bundle, current);
    if (refusal) {
      return {isAccepted: false, reason: refusal, bundle: current};
    }
    const accepted = {
      version: bundle.version,
      digest,
      keyId: signed.keyId,
      time,
    };
    this.history.push(accepted);
    this.signedBundle = signed;
    this.document = bundle;
    return {isAccepted: true, reason: 'accepted', bundle: accepted};
  }

  /** Returns the table as plain data, for a snapshot. */
  save(): z.infer<typeof Snapshot> {
    return {history: this.history, signed: this.signedBundle};
  }
}

function findRefusal(
  bundle: Bundle,
  current: AcceptedBundle | undefined,
): string | undefined {
  const version = current?.version ?? 0;
  const digest = current?.digest ?? '';
  if (bundle.version !== version + 1) {
    const inForce = current
      ? ` (digest ${digest.slice(0, 12)}, signed by ${current.keyId})`
      : '';
    return `version ${version}${inForce} is in force, so the next is ${version + 1}, not ${bundle.version}`;
  }
  if (bundle.previous !== digest) {
    return `version ${bundle.version} was made from another version ${version}: previous must be "${digest}"`;
  }
  return undefined;
}
