/** One attempt of a request, and the components of the gateway that execute it. */
import {Clock} from '../common/clock';
import {FaultBoundary} from '../common/fault_boundary';
import {GatewayRules} from '../protocol/gateway_rules';
import {GatewayTarget} from '../protocol/gateway_target';
import {HttpClientPool} from '../transport/http_client_pool';
import {AttemptOutcome} from './attempt_outcome';
import {GatewayRequest} from './gateway_request';
import {HttpDialect} from './http_dialect';
import {BackendSignals} from './limits/backend_signals';
import {SendPermit} from './limits/send_permit';
import {ResponseHead} from './response_head';
import {ResponseLog} from './responses/response_log';
import {RetryGrant} from './retries/retry_grant';
import {LoadBalancer} from './routing/load_balancer';

export interface AttemptOptions {
  /** Ends the request after an error in a callback of the HTTP client. */
  readonly boundary: FaultBoundary;
  readonly request: GatewayRequest;
  readonly body: Buffer;
  readonly target: GatewayTarget;
  /** The pool of the target. */
  readonly pool?: GatewayRules['pools'][number];
  /** Set if the target has a rate limit. */
  readonly permit?: SendPermit;
  /** Set if an earlier attempt of the request was written to a connection. */
  readonly retry?: RetryGrant;
  readonly workspace?: string;
  /** 0 is the most urgent. */
  readonly urgency: number;
  readonly sendsUrgency?: boolean;
  readonly remainingMs: number;
  readonly lastEventId?: string;
  readonly maxConnections: number;
  readonly clientPool: HttpClientPool;
  readonly balancer: LoadBalancer;
  readonly signals: BackendSignals;
  readonly responseLog: ResponseLog;
  readonly dialect: HttpDialect;
  readonly clock: Clock;
  /** False once the rules are too old to send the request by them. */
  readonly isConfirmed: () => boolean;
  /** Called before the request is written to a connection. */
  readonly onWritten?: () => void;
  /** Called with the head of a valid response to this request. */
  readonly onHead: (head: ResponseHead) => void;
  readonly onData: (chunk: Buffer) => void;
  /** Called once, as the last callback. */
  readonly onEnd: (end: AttemptOutcome) => void;
}
