/** Records responses that end an attempt without a result, with the connection that they arrived on. */
import {Clock} from '../../common/clock';
import {EventRing} from '../../common/event_ring';
import {ThrottledEventLog} from '../../common/throttled_event_log';
import {ConnectionUse} from '../../transport/connection_use';
import {RejectionCause} from './rejection_cause';

interface ReceivedResponse {
  /** The id of the request that the attempt was made for. */
  readonly requestId: string;
  /** The incarnation of the backend server. */
  readonly target: string;
  /** The status; absent before the head is complete. */
  readonly status?: number;
  /** The id that the response carries. */
  readonly answeredId?: string;
  readonly connection?: ConnectionUse;
}

const REASONS: Readonly<Record<RejectionCause, string>> = {
  foreign: 'the answer belongs to another request',
  unidentified: 'the answer names no request',
  unsealed: 'the backend server does not vouch for its answer',
  unmarked: 'the backend server does not state that the request was not run',
  contradictory:
    'the backend server states that the request was not run, with a status of one that was',
  disordered: 'an event of the stream is not the one after the last',
  'invalid-header': 'the answer has a header that cannot be passed on',
  'oversized-head': 'the head of the answer is too long',
  'oversized-framing': 'the answer has too many bytes besides its body',
  'oversized-body': 'the answer is too large to hold',
  'oversized-event': 'an event of the stream is too large to hold',
  'buffers-full': 'the memory for answers is full, and this one held the most',
};

/** By whether a server still listens after the connection of its response has ended. */
const CONNECTION_ENDS = {
  listens: 'the response ended with its connection, and its server listens',
  refuses:
    'the response ended with its connection, and its server listens no more',
  silent:
    'the response ended with its connection, and its server can not be reached',
  unknown:
    'the response ended with its connection, around a pause of this process',
} as const;

/** Limits a line; the id comes from a faulty backend server. */
const MAX_ID_LENGTH = 64;

/** Records at most one line a second for each backend server and kind of response. */
export class ResponseLog {
  private readonly throttled: ThrottledEventLog;

  private constructor(events: EventRing, clock: Clock) {
    this.throttled = ThrottledEventLog.create(events, clock);
  }

  /**
   * Creates a log that records into `events`.
   *
   * @example
   * const log = ResponseLog.create(events, clock);
   * log.recordRejection('foreign', {requestId: 'q2', answeredId: 'q1', target: 'i1', status: 503});
   */
  static create(events: EventRing, clock: Clock): ResponseLog {
    return new ResponseLog(events, clock);
  }

  /** Records a response which states that the request was not executed. */
  recordRefusal(response: ReceivedResponse): void {
    this.record(
      'attempt-refused',
      'the backend server did not execute the request',
      response,
    );
  }

  /** Records that a response without a length or chunks ended with its connection. */
  recordEndByConnection(
    state: keyof typeof CONNECTION_ENDS,
    response: ReceivedResponse,
  ): void {
    const reason = CONNECTION_ENDS[state];
    this.record('response-ended-by-connection', reason, response, {state});
  }

  /**
   * Records a response that is not taken as the answer to the request.
   *
   * @returns the reason for the caller, and what was received for the log, which may
   *     name another request
   */
  recordRejection(cause: RejectionCause, response: ReceivedResponse) {
    const reason = REASONS[cause];
    this.record('response-rejected', reason, response, {cause});
    return {reason, received: formatResponse(response)};
  }

  private record(
    type: string,
    reason: string,
    {requestId, target, status, answeredId, connection}: ReceivedResponse,
    details: Readonly<Record<string, string>> = {},
  ): void {
    this.throttled.record(
      `${type} ${details.cause ?? details.state ?? ''} ${target}`,
      {
        type,
        subject: 'request',
        id: requestId,
        reason,
        details: {
          ...details,
          target,
          status: status ?? 0,
          answeredId: truncateId(answeredId),
          connectionRequests: connection?.requestCount ?? 0,
          connectionAgeMs: Math.round(connection?.ageMs ?? 0),
        },
      },
    );
  }
}

function formatResponse(response: ReceivedResponse): string {
  const {status, answeredId, connection} = response;
  const parts = [
    status === undefined ? 'no head' : `status ${status}`,
    answeredId === undefined ? 'no id' : `id ${truncateId(answeredId)}`,
    `request ${connection?.requestCount ?? 0} on its connection`,
  ];
  return parts.join(', ');
}

function truncateId(id = ''): string {
  return id.slice(0, MAX_ID_LENGTH);
}
