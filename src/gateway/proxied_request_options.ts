/** The request, its route and the components of the gateway that proxy it. */
import {Clock} from '../common/clock';
import {GatewayRules} from '../protocol/gateway_rules';
import {HttpOrigins} from '../transport/http_origins';
import {BackendSignals} from './backend_signals';
import {Containment} from './containment';
import {GatewayRequest} from './gateway_request';
import {HttpDialect} from './http_dialect';
import {PlaceForecast} from './place_forecast';
import {RepeatBudget} from './repeat_budget';
import {RequestIdentity} from './request_identity';
import {RequestResult} from './request_result';
import {ResponseWriter} from './response_writer';
import {TargetBoard} from './target_board';

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
  readonly origins: HttpOrigins;
  readonly balancer: TargetBoard;
  readonly budget: RepeatBudget;
  readonly forecast: PlaceForecast;
  readonly containment: Containment;
  readonly signals: BackendSignals;
  readonly dialect: HttpDialect;
  readonly clock: Clock;
  /** Called once, when the caller has its final response or has disconnected. */
  readonly onDone: (result: RequestResult) => void;
}
