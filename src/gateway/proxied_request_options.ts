/** The request, its route and the components of the gateway that proxy it. */
import {Clock} from '../common/clock';
import {GatewayRules} from '../protocol/gateway_rules';
import {HttpOrigins} from '../transport/http_origins';
import {BackendSignals} from './backend_signals';
import {CrashContainment} from './crash_containment';
import {GatewayRequest} from './gateway_request';
import {HttpDialect} from './http_dialect';
import {SlotForecast} from './slot_forecast';
import {RetryBudget} from './retry_budget';
import {RequestIdentity} from './request_identity';
import {RequestResult} from './request_result';
import {ResponseWriter} from './response_writer';
import {LoadBalancer} from './load_balancer';

export interface ProxiedRequestOptions {
  readonly request: GatewayRequest;
  readonly identity: RequestIdentity;
  readonly body: Buffer;
  readonly route: GatewayRules['routes'][number];
  readonly pool: GatewayRules['pools'][number];
  readonly workspace?: string;
  /** Maximum number of connections from this gateway to one backend server. */
  readonly maxConnections: number;
  /** In milliseconds of this process's monotonic clock. */
  readonly arrivedAt: number;
  readonly response: ResponseWriter;
  readonly clientPool: HttpOrigins;
  readonly balancer: LoadBalancer;
  readonly budget: RetryBudget;
  readonly forecast: SlotForecast;
  readonly containment: CrashContainment;
  readonly signals: BackendSignals;
  readonly dialect: HttpDialect;
  readonly clock: Clock;
  /** Called once, when the caller has its final response or has disconnected. */
  readonly onDone: (result: RequestResult) => void;
}
