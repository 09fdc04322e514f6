/** Runs a request in one or more attempts until it has a final outcome. */
import {Clock} from '../common/clock';
import {chooseReplica} from '../coordination/requests/choose_replica';
import {decideRetry} from '../coordination/requests/decide_retry';
import {RetryBudget} from '../coordination/requests/retry_budget';
import {Group} from '../protocol/group';
import {RequestOutcome} from '../protocol/request_outcome';
import {AttemptCallbacks} from './attempt_callbacks';
import {CallerRequest} from './caller_request';
import {CallerResponse} from './caller_response';
import {HostConnection} from './host_connection';
import {HostConnections} from './host_connections';
import {IdempotencyClaims} from './idempotency_claims';
import {Problem} from './problem';
import {RoutingTable} from './routing_table';

/** Milliseconds within which a host must start a dispatch; it refuses later ones. */
const START_WITHIN_MS = 2_000;
const NO_REPLICA_RETRY_MS = 1_000;
/** Bytes of an abandoned attempt after which it is cancelled even if it must run at most once. */
const MAX_IGNORED_BYTES = 16 * 1024 * 1024;
/** Asks a backend server to skip this many events of its response. */
const RESUME_HEADER = 'whinreel-resume-after';

/** What the runner needs. */
interface RequestRunnerOptions {
  readonly clock: Clock;
  readonly table: RoutingTable;
  readonly connections: HostConnections;
  readonly claims: IdempotencyClaims;
  readonly random: () => number;
}

type AttemptOutcome = Parameters<AttemptCallbacks['onEnd']>[0];

interface Candidate {
  readonly groupId: string;
  readonly group: Group;
  readonly connection: HostConnection;
  readonly running: number;
}

/** How a request ended. */
interface RequestResult {
  readonly outcome: RequestOutcome;
  readonly reason: string;
  readonly attempts: number;
}

/** Runs requests on the replicas in the routing table. */
export class RequestRunner {
  private readonly retryBudgets = new Map<string, RetryBudget>();

  private constructor(private readonly options: RequestRunnerOptions) {}

  /**
   * Creates a runner.
   *
   * @example
   * const runner = RequestRunner.create({clock, table, connections, claims, random});
   */
  static create(options: RequestRunnerOptions): RequestRunner {
    return new RequestRunner(options);
  }

  /** Runs one request; the response is complete when the promise resolves. */
  async run(
    request: CallerRequest,
    response: CallerResponse,
  ): Promise<RequestResult> {
    const {clock} = this.options;
    const tried = new Set<string>();
    let worstEnd: AttemptOutcome = {
      outcome: 'not-run',
      reason: 'no replica serves it now',
    };
    for (let attempt = 1; ; attempt += 1) {
      const candidate = this.chooseCandidate(request, tried);
      if (!candidate) {
        return this.failRequest(response, worstEnd, attempt - 1);
      }
      tried.add(candidate.groupId);
      const attemptId = `${request.requestId}.${attempt}`;
      const end = await this.runAttempt(
        request,
        response,
        candidate,
        attemptId,
      );
      if ('status' in end) {
        response.fail(end);
        return {
          outcome: end.outcome,
          reason: end.detail,
          attempts: attempt - 1,
        };
      }
      if (end.outcome === 'answered') {
        this.getRetryBudget(request).recordSuccess();
        return {outcome: 'answered', reason: '', attempts: attempt};
      }
      worstEnd = chooseWorse(worstEnd, end);
      const isRetried = decideRetry({
        outcome: end.outcome,
        isRepeatable: request.isRepeatable,
        hasDelivered:
          response.isDisconnected ||
          (response.hasDelivered && !response.canResume),
        attemptsMade: attempt,
        msLeft: request.deadline - clock.now(),
        takeRetry: () => this.getRetryBudget(request).takeRetry(),
      });
      if (!isRetried) {
        return this.failRequest(response, worstEnd, attempt);
      }
    }
  }

  /** Runs one attempt, claiming it first if the request must run at most once. */
  private async runAttempt(
    request: CallerRequest,
    response: CallerResponse,
    candidate: Candidate,
    attemptId: string,
  ): Promise<AttemptOutcome | Problem> {
    const {claims} = this.options;
    if (request.isRepeatable) {
      const end = await this.dispatch(request, response, candidate, attemptId);
      return this.resolveOutcome(request, response, candidate, attemptId, end);
    }
    const {group, connection} = candidate;
    const problem = await claims.claim(request, {
      attemptId,
      group,
      incarnation: connection.incarnation,
    });
    if (problem) {
      return problem;
    }
    const end = await this.dispatch(request, response, candidate, attemptId);
    const resolved = await this.resolveOutcome(
      request,
      response,
      candidate,
      attemptId,
      end,
    );
    if (resolved.outcome === 'unknown') {
      // The host process may still learn the outcome and tell a later request with the same key.
      return resolved;
    }
    const resolving = claims.resolve(request, attemptId, resolved.outcome);
    if (resolved.outcome === 'not-run') {
      // The next attempt claims again, which control grants only once this outcome is recorded.
      await resolving;
    }
    return resolved;
  }

  /** After a lost connection, asks the host process for the outcome of the attempt. */
  private async resolveOutcome(
    request: CallerRequest,
    response: CallerResponse,
    candidate: Candidate,
    attemptId: string,
    end: AttemptOutcome,
  ): Promise<AttemptOutcome> {
    const shouldAskHost =
      end.isConnectionLost && !response.hasDelivered && !request.isRepeatable;
    if (!shouldAskHost) {
      return end;
    }
    const connection = await this.options.connections.findOrConnect(
      candidate.group.members[0].address,
    );
    if (
      !connection ||
      connection.incarnation !== candidate.connection.incarnation
    ) {
      return end;
    }
    const answer = await connection.askTombstone(attemptId);
    if (answer?.verdict === 'never-started') {
      return {outcome: 'not-run', reason: 'the host process never started it'};
    }
    if (answer?.verdict === 'ended') {
      return {
        outcome: 'failed',
        reason: 'it ran, but its answer was lost on the way',
      };
    }
    return end;
  }

  private dispatch(
    request: CallerRequest,
    response: CallerResponse,
    {group, connection}: Candidate,
    attemptId: string,
  ): Promise<AttemptOutcome> {
    const msLeft = Math.max(0, request.deadline - this.options.clock.now());
    return new Promise(resolve => {
      let hasStarted = false;
      // Frames of an abandoned attempt may still arrive and are ignored.
      let isSettled = false;
      let ignoredBytes = 0;
      const finish = (end: AttemptOutcome) => {
        isSettled = true;
        clearTimeout(timer);
        resolve(end);
      };
      const abandon = (reason: string) => {
        if (!isSettled) {
          // An attempt that must run at most once is not cancelled: it may already have had its effect.
          const isCancelled = request.isRepeatable;
          const outcome = isCancelled && hasStarted ? 'failed' : 'unknown';
          finish({outcome, reason});
          if (isCancelled) {
            cancel();
          }
        }
      };
      const timer = setTimeout(() => abandon('the deadline passed'), msLeft);
      const cancel = connection.dispatch(
        {
          attemptId,
          groupId: group.id,
          epoch: group.epoch,
          method: request.method,
          path: request.path,
          headers: createHeaders(request, response),
          body: request.body,
          isRepeatable: request.isRepeatable,
          priority: request.priority,
        },
        Math.min(START_WITHIN_MS, msLeft),
        {
          onHead: (status, headers) => {
            hasStarted = true;
            if (isSettled) {
              return;
            }
            if (!response.canStart(status, headers)) {
              abandon('the answer has a status or header that HTTP forbids');
            } else if (!response.hasDelivered) {
              response.start(status, headers);
            } else if (!response.isContinuedBy(status, headers)) {
              abandon('the answer broke off and could not be resumed');
            }
          },
          onData: (bytes, returnCredit) => {
            if (isSettled) {
              ignoredBytes += bytes.length;
              if (ignoredBytes <= MAX_IGNORED_BYTES) {
                returnCredit();
              } else {
                cancel();
              }
            } else {
              response.write(bytes, returnCredit);
            }
          },
          onEnd: end => {
            if (isSettled) {
              return;
            }
            if (end.outcome === 'answered') {
              response.finish();
            }
            finish(end);
          },
        },
      );
      if (request.isRepeatable) {
        response.watchDisconnect(() => abandon('the caller went away'));
      }
    });
  }

  private chooseCandidate(
    request: CallerRequest,
    tried: ReadonlySet<string>,
  ): Candidate | undefined {
    const {table, connections, random} = this.options;
    const candidates: Candidate[] = [];
    for (const group of table.groups) {
      const isMatch =
        group.kind === request.kind && group.name === request.name;
      if (!isMatch || group.isDraining || tried.has(group.id)) {
        continue;
      }
      const connection = connections.find(group.members[0].address);
      if (connection) {
        const running = Math.max(
          connection.ownAttemptCount,
          connection.reportedAttemptCount,
        );
        candidates.push({groupId: group.id, group, connection, running});
      }
    }
    return chooseReplica(candidates, random);
  }

  private getRetryBudget(request: CallerRequest): RetryBudget {
    const key = `${request.workspace}/${request.name}`;
    let budget = this.retryBudgets.get(key);
    if (!budget) {
      budget = RetryBudget.create();
      this.retryBudgets.set(key, budget);
    }
    return budget;
  }

  private failRequest(
    response: CallerResponse,
    end: AttemptOutcome,
    attempts: number,
  ): RequestResult {
    response.fail(describeEnd(end));
    return {outcome: end.outcome, reason: end.reason, attempts};
  }
}

function createHeaders(
  request: CallerRequest,
  response: CallerResponse,
): Readonly<Record<string, string>> {
  return response.canResume
    ? {
        ...request.headers,
        [RESUME_HEADER]: String(response.deliveredEventCount),
      }
    : request.headers;
}

/** An attempt that may have run outweighs those that certainly did not. */
function chooseWorse(
  worstEnd: AttemptOutcome,
  end: AttemptOutcome,
): AttemptOutcome {
  const SEVERITY_ORDER: readonly RequestOutcome[] = [
    'not-run',
    'failed',
    'unknown',
  ];
  return SEVERITY_ORDER.indexOf(end.outcome) >=
    SEVERITY_ORDER.indexOf(worstEnd.outcome)
    ? end
    : worstEnd;
}

const STATUS_BY_OUTCOME: Record<RequestOutcome, number> = {
  answered: 200,
  'not-run': 503,
  failed: 502,
  unknown: 504,
};

function describeEnd({outcome, reason, retryAfterMs}: AttemptOutcome): Problem {
  const isNotRun = outcome === 'not-run';
  return {
    status: STATUS_BY_OUTCOME[outcome],
    title: isNotRun ? 'Not run' : outcome === 'failed' ? 'Failed' : 'Unknown',
    detail: reason,
    outcome,
    retryAfterMs: isNotRun ? (retryAfterMs ?? NO_REPLICA_RETRY_MS) : undefined,
  };
}
