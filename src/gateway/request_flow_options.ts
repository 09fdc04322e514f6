/** What carrying one request through takes. */
import {Clock} from '../common/clock';
import {GatewayRules} from '../protocol/gateway_rules';
import {HttpOrigins} from '../transport/http_origins';
import {BackendSignals} from './backend_signals';
import {CallerAnswer} from './caller_answer';
import {CallerDialect} from './caller_dialect';
import {CrashContainment} from './crash_containment';
import {FlowResult} from './flow_result';
import {GatewayRequest} from './gateway_request';
import {SlotForecast} from './slot_forecast';
import {RetryBudget} from './retry_budget';
import {RequestIdentity} from './request_identity';
import {LoadBalancer} from './load_balancer';

/** What a flow needs. */
export interface RequestFlowOptions {
  readonly request: GatewayRequest;
  readonly identity: RequestIdentity;
  readonly body: Buffer;
  readonly route: GatewayRules['routes'][number];
  readonly pool: GatewayRules['pools'][number];
  readonly workspace?: string;
  /** Connections that this gateway may open to one backend server. */
  readonly maxConnections: number;
  /** On this process's monotonic clock. */
  readonly arrivedAt: number;
  readonly answer: CallerAnswer;
  readonly origins: HttpOrigins;
  readonly board: LoadBalancer;
  readonly budget: RetryBudget;
  readonly forecast: SlotForecast;
  readonly containment: CrashContainment;
  readonly signals: BackendSignals;
  readonly dialect: CallerDialect;
  readonly clock: Clock;
  /** Told once, when the caller has its final answer or is gone. */
  readonly onDone: (result: FlowResult) => void;
}
