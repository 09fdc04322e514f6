/** Claims requests that must run at most once, and resolves earlier claims on the same key. */
import {ClaimVerdict} from '../protocol/claim_verdict';
import {ControlClient} from '../protocol/control_client';
import {computeDigest} from '../protocol/compute_digest';
import {Group} from '../protocol/group';
import {RequestOutcome} from '../protocol/request_outcome';
import {CallerRequest} from './caller_request';
import {HostConnections} from './host_connections';
import {Problem} from './problem';

const CLAIM_TIMEOUT_MS = 3_000;
const RESOLVE_TIMEOUT_MS = 10_000;
const RETRY_AFTER_MS = 1_000;

/** Where claims are sent and resolved. */
interface IdempotencyClaimsOptions {
  readonly client: ControlClient;
  readonly connections: HostConnections;
}

/** Which attempt a claim is for, and where it would run. */
interface ClaimTarget {
  readonly attemptId: string;
  readonly group: Group;
  /** Incarnation of the first member's host process. */
  readonly incarnation: string;
}

/** Lets a request with a given idempotency key run at most once per workspace. */
export class IdempotencyClaims {
  private constructor(private readonly options: IdempotencyClaimsOptions) {}

  /**
   * Creates a client that claims requests through control.
   *
   * @example
   * const claims = IdempotencyClaims.create({client, connections});
   */
  static create(options: IdempotencyClaimsOptions): IdempotencyClaims {
    return new IdempotencyClaims(options);
  }

  /**
   * Claims a request for one attempt.
   *
   * @returns undefined when granted, else the problem to respond with
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
    if (verdict === 'claimable') {
      const second = await this.sendClaim(request, target);
      return describeVerdict(second);
    }
    return describeVerdict(verdict);
  }

  /** Reports the outcome of a claimed attempt to control. */
  async resolve(
    request: CallerRequest,
    attemptId: string,
    outcome: RequestOutcome,
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

  /** Asks the host process named in an unresolved claim for the outcome of its attempt. */
  private async resolveExistingClaim(
    request: CallerRequest,
    claim: ClaimVerdict & {status: 'in-progress'},
  ): Promise<ClaimVerdict | 'claimable'> {
    const {attemptId, address, incarnation} = claim;
    const connection = await this.options.connections.findOrConnect(address);
    if (!connection) {
      return claim;
    }
    if (connection.incarnation !== incarnation) {
      await this.resolve(request, attemptId, 'unknown');
      return {status: 'ended', attemptId, outcome: 'unknown'};
    }
    const answer = await connection.askTombstone(attemptId);
    if (answer?.verdict === 'never-started') {
      await this.resolve(request, attemptId, 'not-run');
      return 'claimable';
    }
    if (answer?.verdict === 'ended' && answer.outcome) {
      await this.resolve(request, attemptId, answer.outcome);
      return answer.outcome === 'not-run'
        ? 'claimable'
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
      retryAfterMs: RETRY_AFTER_MS,
    };
  }
  return PROBLEM_BY_STATUS[verdict.status](verdict as never);
}

const PROBLEM_BY_STATUS: {
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
    retryAfterMs: RETRY_AFTER_MS,
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
