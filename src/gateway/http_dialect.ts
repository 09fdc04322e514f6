import {IncomingMessage} from 'node:http';
import {GatewayRules} from '../protocol/gateway_rules';
import {ResponseHead} from './response_head';
import {GatewayRequest} from './gateway_request';

/** What a dispatch adds to a caller's request. */
interface DispatchMarks {
  /** The only start of a backend server that may run it. */
  readonly incarnation: string;
  readonly workspace?: string;
  /** Milliseconds that the backend server may take. */
  readonly remainingMs?: number;
  /** The last event that the caller has. */
  readonly lastEventId?: string;
}

/** The header names of callers and backend servers; an adapter provides them. */
export interface HttpDialect {
  /** Reads the headers of a request; the text says what is wrong. */
  readonly readRequest: (message: IncomingMessage) => GatewayRequest | string;
  /** Headers to a backend server, names and values in turn. */
  readonly createHeaders: (
    request: GatewayRequest,
    marks: DispatchMarks,
  ) => string[];
  readonly readResponseHead: (
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ) => ResponseHead;
  /** How long a caller bears a pause before it leaves a stream, in milliseconds. */
  readonly computeMaxPauseMs: (
    route: Pick<
      GatewayRules['routes'][number],
      'objectiveMs' | 'pauseObjectiveMs'
    >,
  ) => number;
  /** Part of what is left of its time within which a caller comes back as it is told. */
  readonly maxRetryAfterFraction: number;
  /** The header with which an own answer names its request. */
  readonly requestIdHeader: string;
}
