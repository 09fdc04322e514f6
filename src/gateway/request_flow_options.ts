/** What carrying one request through takes. */
import {Clock} from '../common/clock';
import {GatewayRules} from '../protocol/gateway_rules';
import {HttpClientPool} from '../transport/http_client_pool';
import {BackendSignals} from './backend_signals';
import {CallerAnswer} from './caller_answer';
import {CallerDialect} from './caller_dialect';
import {Containment} from './containment';
import {FlowResult} from './flow_result';
import {GatewayRequest} from './gateway_request';
import {PlaceForecast} from './place_forecast';
import {RepeatBudget} from './repeat_budget';
import {RequestIdentity} from './request_identity';
import {TargetBoard} from './target_board';

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
  readonly origins: HttpClientPool;
  readonly board: TargetBoard;
  readonly budget: RepeatBudget;
  readonly forecast: PlaceForecast;
  readonly containment: Containment;
  readonly signals: BackendSignals;
  readonly dialect: CallerDialect;
  readonly clock: Clock;
  /** Told once, when the caller has its final answer or is gone. */
  readonly onDone: (result: FlowResult) => void;
}
