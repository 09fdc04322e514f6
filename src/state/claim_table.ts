/** Claims of requests that run at most once. */
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

/** Grants each (workspace, key) once. */
export class ClaimTable {
  /** Oldest first, so that expiry looks only at the front. */
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

  /** Grants the claim, or says what became of the one that stands. */
  claim(command: ClaimCommand): ClaimVerdict {
    const key = createKey(command);
    const standing = this.claims.get(key);
    if (!standing || standing.outcome === 'not-run') {
      return this.grant(key, command, standing);
    }
    if (standing.digest !== command.digest) {
      return {status: 'key-reused'};
    }
    if (standing.outcome) {
      return {
        status: 'ended',
        attemptId: standing.attemptId,
        outcome: standing.outcome,
      };
    }
    const isRepeated =
      standing.attemptId === command.attemptId &&
      standing.incarnation === command.incarnation;
    if (isRepeated) {
      return {status: 'granted'};
    }
    const {attemptId, hostId, incarnation, address} = standing;
    return {status: 'in-progress', attemptId, hostId, incarnation, address};
  }

  /** Records an outcome; the first one stands. Tells whether it was recorded. */
  resolve(command: ResolveCommand): boolean {
    const standing = this.claims.get(createKey(command));
    if (
      !standing ||
      standing.outcome ||
      standing.attemptId !== command.attemptId
    ) {
      return false;
    }
    standing.outcome = command.outcome;
    return true;
  }

  /** Forgets claims made before a committed time. */
  expire(before: number): void {
    for (const [key, claim] of this.claims) {
      if (claim.time >= before) {
        return;
      }
      this.claims.delete(key);
    }
  }

  /** The table as plain data. */
  save(): z.infer<typeof Snapshot> {
    return [...this.claims.values()];
  }

  private grant(
    key: string,
    command: ClaimCommand,
    standing: Claim | undefined,
  ): ClaimVerdict {
    if (standing && standing.digest !== command.digest) {
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
