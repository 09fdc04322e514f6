import {HttpDialect} from './http_dialect';

/** Everything that a gateway is told when it starts. */
export interface GatewaySettings {
  readonly gatewayId: string;
  readonly zone: string;
  /** Where callers connect. */
  readonly host: string;
  readonly port: number;
  /** Where control processes may be found at first. */
  readonly control: readonly string[];
  readonly dialect: HttpDialect;
  /** How long a confirmation by control lets requests through, in milliseconds. */
  readonly confirmationMs: number;
  /** Within which a change of rules is in force everywhere, in milliseconds: what a refusal for good may be based on. */
  readonly changesWithinMs: number;
  /** Repeats of requests, over all gateways. */
  readonly retries: {
    /** Per request to the pool. */
    readonly ratio: number;
    readonly windowMs: number;
    /** Allowed beyond the ratio in each window. */
    readonly slack: number;
  };
  /** From the order to stop until the process is ended by force, in milliseconds. */
  readonly stopWithinMs: number;
}
