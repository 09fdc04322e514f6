/** Carries one request through its attempts to one final outcome. */
import {Clock} from '../common/clock';
import {chooseReplica} from '../coordination/requests/choose_replica';
import {decideRetry} from '../coordination/requests/decide_retry';
import {RetryBudget} from '../coordination/requests/retry_budget';
import {Group} from '../protocol/group';
import {Outcome} from '../protocol/outcome';
import {AttemptCallbacks} from './attempt_callbacks';
import {CallerRequest} from './caller_request';
import {CallerResponse} from './caller_response';
import {HostConnection} from './host_connection';
import {HostConnections} from './host_connections';
import {IdempotencyClaims} from './idempotency_claims';
import {Problem} from './problem';
import {RoutingTable} from './routing_table';

/** How long a dispatch may travel before the host process refuses it. */
const START_WITHIN_MS = 2_000;
const NO_REPLICA_RETRY_MS = 1_000;
/** Asks a backend server to leave out this many events of its answer. */
const RESUME_HEADER = 'whinreel-resume-after';

/** What requests run with. */
interface RequestRunnerOptions {
  readonly clock: Clock;
  readonly table: RoutingTable;
  readonly connections: HostConnections;
  readonly claims: IdempotencyClaims;
  readonly random: () => number;
}

type AttemptEnd = Parameters<AttemptCallbacks['onEnd']>[0];

interface Candidate {
  readonly groupId: string;
  readonly group: Group;
  readonly connection: HostConnection;
  readonly running: number;
}

/** How a request ended. */
interface RequestEnd {
  readonly outcome: Outcome;
  readonly reason: string;
  readonly attempts: number;
}

/** Runs requests against the replicas that the table names. */
export class RequestRunner {
  private readonly retryBudgets = new Map<string, RetryBudget>();

  private constructor(private readonly options: RequestRunnerOptions) {}

  /**
   * Creates a runner.
   *
   * @example
   * const runner = RequestRunner.create({clock, table, links, onceOnly, random});
   */
  static create(options: RequestRunnerOptions): RequestRunner {
    return new RequestRunner(options);
  }

  /** Runs one request; the response is complete when the promise resolves. */
  async run(
    request: CallerRequest,
    response: CallerResponse,
  ): Promise<RequestEnd> {
    const {clock} = this.options;
    const tried = new Set<string>();
    let worst: AttemptEnd = {
      outcome: 'not-run',
      reason: 'no replica serves it now',
    };
    for (let attempt = 1; ; attempt += 1) {
      const candidate = this.chooseCandidate(request, tried);
      if (!candidate) {
        return this.failRequest(response, worst, attempt - 1);
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
      worst = takeWorse(worst, end);
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
        return this.failRequest(response, worst, attempt);
      }
    }
  }

  /** One attempt, with its claim if it must run at most once. */
  private async runAttempt(
    request: CallerRequest,
    response: CallerResponse,
    candidate: Candidate,
    attemptId: string,
  ): Promise<AttemptEnd | Problem> {
    const {claims: onceOnly} = this.options;
    if (request.isRepeatable) {
      const end = await this.dispatch(request, response, candidate, attemptId);
      return this.resolveOutcome(request, response, candidate, attemptId, end);
    }
    const {group, connection: link} = candidate;
    const problem = await onceOnly.claim(request, {
      attemptId,
      group,
      incarnation: link.incarnation,
    });
    if (problem) {
      return problem;
    }
    const end = await this.dispatch(request, response, candidate, attemptId);
    const settled = await this.resolveOutcome(
      request,
      response,
      candidate,
      attemptId,
      end,
    );
    if (settled.outcome === 'unknown') {
      // The host process may still learn the truth; whoever asks later hears it.
      return settled;
    }
    const resolving = onceOnly.resolve(request, attemptId, settled.outcome);
    if (settled.outcome === 'not-run') {
      // The next attempt claims again, which only the recorded outcome allows.
      await resolving;
    }
    return settled;
  }

  /** After a lost connection the host process may still know what became of the attempt. */
  private async resolveOutcome(
    request: CallerRequest,
    response: CallerResponse,
    candidate: Candidate,
    attemptId: string,
    end: AttemptEnd,
  ): Promise<AttemptEnd> {
    const isWorthAsking =
      end.isConnectionLost && !response.hasDelivered && !request.isRepeatable;
    if (!isWorthAsking) {
      return end;
    }
    const link = await this.options.connections.findOrConnect(
      candidate.group.members[0].address,
    );
    if (!link || link.incarnation !== candidate.connection.incarnation) {
      return end;
    }
    const answer = await link.askTombstone(attemptId);
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
    {group, connection: link}: Candidate,
    attemptId: string,
  ): Promise<AttemptEnd> {
    const msLeft = Math.max(0, request.deadline - this.options.clock.now());
    return new Promise(resolve => {
      let hasHead = false;
      // Frames of an attempt that was given up may still come; they are nobody's.
      let isOver = false;
      const finish = (end: AttemptEnd) => {
        isOver = true;
        clearTimeout(timer);
        resolve(end);
      };
      const giveUp = (reason: string) => {
        if (!isOver) {
          // What must run once is not broken off half-way: it may have its effect already.
          const isCancelled = request.isRepeatable;
          const outcome = isCancelled && hasHead ? 'failed' : 'unknown';
          finish({outcome, reason});
          if (isCancelled) {
            cancel();
          }
        }
      };
      const timer = setTimeout(() => giveUp('the deadline passed'), msLeft);
      const cancel = link.dispatch(
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
            hasHead = true;
            if (isOver) {
              return;
            }
            if (!response.hasDelivered) {
              response.start(status, headers);
            } else if (!response.isContinuedBy(status, headers)) {
              giveUp('the answer broke off and could not be resumed');
            }
          },
          onData: (bytes, giveBack) => {
            if (isOver) {
              giveBack();
            } else {
              response.write(bytes, giveBack);
            }
          },
          onEnd: end => {
            if (isOver) {
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
        response.watchDisconnect(() => giveUp('the caller went away'));
      }
    });
  }

  private chooseCandidate(
    request: CallerRequest,
    tried: ReadonlySet<string>,
  ): Candidate | undefined {
    const {table, connections: links, random} = this.options;
    const candidates: Candidate[] = [];
    for (const group of table.groups) {
      const isMatch =
        group.kind === request.kind && group.name === request.name;
      if (!isMatch || group.isDraining || tried.has(group.id)) {
        continue;
      }
      const link = links.find(group.members[0].address);
      if (link) {
        const running = Math.max(
          link.ownAttemptCount,
          link.reportedAttemptCount,
        );
        candidates.push({groupId: group.id, group, connection: link, running});
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
    end: AttemptEnd,
    attempts: number,
  ): RequestEnd {
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

/** One earlier attempt that may have run outweighs later ones that surely did not. */
function takeWorse(worst: AttemptEnd, end: AttemptEnd): AttemptEnd {
  const ORDER: readonly Outcome[] = ['not-run', 'failed', 'unknown'];
  return ORDER.indexOf(end.outcome) >= ORDER.indexOf(worst.outcome)
    ? end
    : worst;
}

const STATUS_BY_OUTCOME: Record<Outcome, number> = {
  answered: 200,
  'not-run': 503,
  failed: 502,
  unknown: 504,
};

function describeEnd({outcome, reason, retryAfterMs}: AttemptEnd): Problem {
  const isNotRun = outcome === 'not-run';
  return {
    status: STATUS_BY_OUTCOME[outcome],
    title: isNotRun ? 'Not run' : outcome === 'failed' ? 'Failed' : 'Unknown',
    detail: reason,
    outcome,
    retryAfterMs: isNotRun ? (retryAfterMs ?? NO_REPLICA_RETRY_MS) : undefined,
  };
}
