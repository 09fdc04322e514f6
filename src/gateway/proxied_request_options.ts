/** The request, its route and the components of the gateway that proxy it. */
import {Clock} from '../common/clock';
import {GatewayRules} from '../protocol/gateway_rules';
import {HttpClientPool} from '../transport/http_client_pool';
import {BackendSignals} from './limits/backend_signals';
import {CrashContainment} from './crashes/crash_containment';
import {GatewayRequest} from './gateway_request';
import {FaultLog} from './fault_log';
import {HttpDialect} from './http_dialect';
import {SlotForecast} from './scheduling/slot_forecast';
import {RetryBudget} from './retries/retry_budget';
import {RetryLog} from './retries/retry_log';
import {RequestIdentity} from './crashes/request_identity';
import {RequestResult} from './request_result';
import {ResponseLog} from './responses/response_log';
import {ResponseMemory} from './responses/response_memory';
import {ResponseWriter} from './responses/response_writer';
import {LoadBalancer} from './routing/load_balancer';

export interface ProxiedRequestOptions {
  readonly request: GatewayRequest;
  readonly identity: RequestIdentity;
  readonly body: Buffer;
  readonly route: GatewayRules['routes'][number];
  readonly pool: GatewayRules['pools'][number];
  readonly workspace?: string;
  /** Priority of its workspace, or else of its route; 0 is the most urgent. */
  readonly urgency: number;
  /** True if the rules have different priorities, so that backend servers are told the urgency. */
  readonly sendsUrgency?: boolean;
  /** Maximum number of connections from this gateway to one backend server. */
  readonly maxConnections: number;
  /** In milliseconds of this process's monotonic clock. */
  readonly arrivedAt: number;
  readonly response: ResponseWriter;
  readonly clientPool: HttpClientPool;
  readonly balancer: LoadBalancer;
  readonly budget: RetryBudget;
  readonly retryLog: RetryLog;
  readonly responseLog: ResponseLog;
  readonly faultLog: FaultLog;
  /** Shared by all requests of the gateway. */
  readonly responseMemory: ResponseMemory;
  readonly forecast: SlotForecast;
  readonly containment: CrashContainment;
  readonly signals: BackendSignals;
  readonly dialect: HttpDialect;
  readonly clock: Clock;
  /** True while control has confirmed recently enough the rules by which requests are sent. */
  readonly isConfirmed: () => boolean;
  /** Called once, when the caller has its final response or has disconnected. */
  readonly onDone: (result: RequestResult) => void;
}
