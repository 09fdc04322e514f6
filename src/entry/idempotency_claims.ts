/** Claims requests that run at most once, and finds out what became of earlier claims. */
import {ClaimVerdict} from '../protocol/claim_verdict';
import {ControlClient} from '../protocol/control_client';
import {computeDigest} from '../protocol/compute_digest';
import {Group} from '../protocol/group';
import {Outcome} from '../protocol/outcome';
import {CallerRequest} from './caller_request';
import {HostConnections} from './host_connections';
import {Problem} from './problem';

const CLAIM_TIMEOUT_MS = 3_000;
const RESOLVE_TIMEOUT_MS = 10_000;
const RETRY_IN_PROGRESS_MS = 1_000;

/** Whom to ask. */
interface OnceOnlyOptions {
  readonly client: ControlClient;
  readonly connections: HostConnections;
}

/** Which attempt a claim is for, and where it would run. */
interface ClaimTarget {
  readonly attemptId: string;
  readonly group: Group;
  /** Incarnation of the first member's process. */
  readonly incarnation: string;
}

/** Grants at most one run for each workspace and key. */
export class IdempotencyClaims {
  private constructor(private readonly options: OnceOnlyOptions) {}

  /**
   * Creates a claimer.
   *
   * @example
   * const onceOnly = OnceOnly.create({client, links});
   */
  static create(options: OnceOnlyOptions): IdempotencyClaims {
    return new IdempotencyClaims(options);
  }

  /**
   * Claims the right to run once.
   *
   * @returns undefined when granted, else the problem to answer with
   */
  async claim(
    request: CallerRequest,
    target: ClaimTarget,
  ): Promise<Problem | undefined> {
    const first = await this.sendClaim(request, target);
    const verdict =
      first?.status === 'in-progress'
        ? await this.resolveExistingClaim(request, first)
        : first;
    if (verdict === 'settled') {
      const second = await this.sendClaim(request, target);
      return describeVerdict(second);
    }
    return describeVerdict(verdict);
  }

  /** Records what became of a claimed attempt. */
  async resolve(
    request: CallerRequest,
    attemptId: string,
    outcome: Outcome,
  ): Promise<void> {
    const {workspace, idempotencyKey: key} = request;
    await this.options.client
      .ask(
        {type: 'claim-resolve', workspace, key, attemptId, outcome},
        RESOLVE_TIMEOUT_MS,
      )
      .catch(() => undefined);
  }

  private async sendClaim(
    request: CallerRequest,
    {attemptId, group, incarnation}: ClaimTarget,
  ): Promise<ClaimVerdict | undefined> {
    const first = group.members[0];
    const claim = {
      workspace: request.workspace,
      key: request.idempotencyKey,
      attemptId,
      digest: computeDigest(
        `${request.method} ${request.path}\n${computeDigest(request.body)}`,
      ),
      groupId: group.id,
      epoch: group.epoch,
      hostId: first.hostId,
      incarnation,
      address: first.address,
    };
    return this.options.client
      .ask({type: 'claim-ask', claim}, CLAIM_TIMEOUT_MS)
      .then(answer => answer.verdict)
      .catch(() => undefined);
  }

  /** Asks the host process that an unfinished claim names what became of it. */
  private async resolveExistingClaim(
    request: CallerRequest,
    claim: ClaimVerdict & {status: 'in-progress'},
  ): Promise<ClaimVerdict | 'settled'> {
    const {attemptId, address, incarnation} = claim;
    const link = await this.options.connections.findOrConnect(address);
    if (!link) {
      return claim;
    }
    if (link.incarnation !== incarnation) {
      await this.resolve(request, attemptId, 'unknown');
      return {status: 'ended', attemptId, outcome: 'unknown'};
    }
    const answer = await link.askTombstone(attemptId);
    if (answer?.verdict === 'never-started') {
      await this.resolve(request, attemptId, 'not-run');
      return 'settled';
    }
    if (answer?.verdict === 'ended' && answer.outcome) {
      await this.resolve(request, attemptId, answer.outcome);
      return answer.outcome === 'not-run'
        ? 'settled'
        : {status: 'ended', attemptId, outcome: answer.outcome};
    }
    return claim;
  }
}

function describeVerdict(
  verdict: ClaimVerdict | undefined,
): Problem | undefined {
  if (!verdict) {
    return {
      status: 503,
      title: 'No claim',
      detail: 'control did not confirm that this request runs only once',
      outcome: 'not-run',
      retryAfterMs: RETRY_IN_PROGRESS_MS,
    };
  }
  return DESCRIPTIONS[verdict.status](verdict as never);
}

const DESCRIPTIONS: {
  [S in ClaimVerdict['status']]: (
    verdict: ClaimVerdict & {status: S},
  ) => Problem | undefined;
} = {
  granted: () => undefined,
  'in-progress': ({attemptId}) => ({
    status: 409,
    title: 'In progress',
    detail: `the request with this key runs as ${attemptId}; it is not run again`,
    outcome: 'unknown',
    retryAfterMs: RETRY_IN_PROGRESS_MS,
  }),
  ended: ({attemptId, outcome}) => ({
    status: 409,
    title: 'Ran before',
    detail: `the request with this key ended as ${attemptId}: ${outcome}; it is not run again`,
    outcome,
  }),
  'key-reused': () => ({
    status: 422,
    title: 'Key used for another request',
    detail:
      'this Idempotency-Key came before with another method, path or body',
    outcome: 'not-run',
  }),
};
