import {IncomingMessage} from 'node:http';
import {GatewayRules} from '../protocol/gateway_rules';
import {GatewayRequest} from './gateway_request';
import {ResponseHead} from './response_head';

/** Values that an attempt adds to the headers of a caller's request. */
interface DispatchHeaders {
  /** The only incarnation of a backend server that may execute the request. */
  readonly incarnation: string;
  readonly workspace?: string;
  /** Priority of the request, 0 for the most urgent; present only where the rules distinguish priorities. */
  readonly urgency?: number;
  /** Milliseconds until the request's deadline. */
  readonly remainingMs?: number;
  /** The id of the last event that the caller received. */
  readonly lastEventId?: string;
}

/** Reads and writes the HTTP headers of callers and backend servers; an adapter for each platform implements it. */
export interface HttpDialect {
  /** Reads the headers of a request; returns the reason as text if they are invalid. */
  readonly readRequest: (message: IncomingMessage) => GatewayRequest | string;
  /** Headers for a backend server, as alternating names and values. */
  readonly createHeaders: (
    request: GatewayRequest,
    marks: DispatchHeaders,
  ) => string[];
  readonly readResponseHead: (
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ) => ResponseHead;
  /** How long a caller tolerates a pause in a stream before it disconnects, in milliseconds. */
  readonly computeMaxPauseMs: (
    route: Pick<
      GatewayRules['routes'][number],
      'objectiveMs' | 'pauseObjectiveMs'
    >,
  ) => number;
  /** Fraction of a caller's remaining time up to which it honors a retry delay. */
  readonly maxRetryAfterFraction: number;
  /** The header that carries the request id in errors of the gateway. */
  readonly requestIdHeader: string;
}
