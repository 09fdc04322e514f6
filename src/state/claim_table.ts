/** Idempotency keys claimed by requests that must run at most once. */
import {z} from 'zod';
import {ClaimVerdict} from '../protocol/claim_verdict';
import {ControlCommand} from '../protocol/control_command';
import {MessageOf} from '../protocol/message_of';
import {RequestOutcome} from '../protocol/request_outcome';

type ClaimCommand = MessageOf<ControlCommand, 'claim'>;
type ResolveCommand = MessageOf<ControlCommand, 'resolve-claim'>;

const Claim = z.object({
  workspace: z.string(),
  key: z.string(),
  attemptId: z.string(),
  digest: z.string(),
  hostId: z.string(),
  incarnation: z.string(),
  address: z.string(),
  time: z.number(),
  outcome: RequestOutcome.optional(),
});
type Claim = z.infer<typeof Claim>;

const Snapshot = z.array(Claim);

/** Grants each pair of workspace and key to one attempt. */
export class ClaimTable {
  /** In insertion order, oldest first, so expiry stops at the first claim that is kept. */
  private readonly claims: Map<string, Claim>;

  private constructor(claims: readonly Claim[]) {
    this.claims = new Map(claims.map(claim => [createKey(claim), claim]));
  }

  /**
   * Creates an empty table, or one from a snapshot.
   *
   * @example
   * const claims = ClaimTable.create();
   */
  static create(snapshot?: unknown): ClaimTable {
    return new ClaimTable(Snapshot.parse(snapshot ?? []));
  }

  get size(): number {
    return this.claims.size;
  }

  /** Grants the claim, or returns the state of the existing claim on the same key. */
  claim(command: ClaimCommand): ClaimVerdict {
    const key = createKey(command);
    const existing = this.claims.get(key);
    // An attempt that certainly did not run gives the key up.
    if (!existing || existing.outcome === 'not-run') {
      return this.grant(key, command, existing);
    }
    if (existing.digest !== command.digest) {
      return {status: 'key-reused'};
    }
    if (existing.outcome) {
      return {
        status: 'ended',
        attemptId: existing.attemptId,
        outcome: existing.outcome,
      };
    }
    const isRepeated =
      existing.attemptId === command.attemptId &&
      existing.incarnation === command.incarnation;
    if (isRepeated) {
      return {status: 'granted'};
    }
    const {attemptId, hostId, incarnation, address} = existing;
    return {status: 'in-progress', attemptId, hostId, incarnation, address};
  }

  /** Records the outcome of an attempt unless one is recorded already. Returns whether it was recorded. */
  resolve(command: ResolveCommand): boolean {
    const existing = this.claims.get(createKey(command));
    if (
      !existing ||
      existing.outcome ||
      existing.attemptId !== command.attemptId
    ) {
      return false;
    }
    existing.outcome = command.outcome;
    return true;
  }

  /** Removes claims made before `before`, in committed wall-clock milliseconds. */
  expire(before: number): void {
    for (const [key, claim] of this.claims) {
      if (claim.time >= before) {
        return;
      }
      this.claims.delete(key);
    }
  }

  /** Returns the table as plain data, for a snapshot. */
  save(): z.infer<typeof Snapshot> {
    return [...this.claims.values()];
  }

  private grant(
    key: string,
    command: ClaimCommand,
    existing: Claim | undefined,
  ): ClaimVerdict {
    if (existing && existing.digest !== command.digest) {
      return {status: 'key-reused'};
    }
    const {workspace, attemptId, digest, hostId, incarnation, address, time} =
      command;
    this.claims.delete(key);
    this.claims.set(key, {
      workspace,
      key: command.key,
      attemptId,
      digest,
      hostId,
      incarnation,
      address,
      time,
    });
    return {status: 'granted'};
  }
}

function createKey(claim: {workspace: string; key: string}): string {
  return `${claim.workspace}\n${claim.key}`;
}
