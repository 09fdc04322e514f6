import {ServerAddress} from '../common/server_address';
import {HttpDialect} from './http_dialect';

/** Settings with which a gateway process starts. */
export interface GatewaySettings {
  readonly gatewayId: string;
  readonly zone: string;
  /** The address on which it listens for callers. */
  readonly host: string;
  readonly port: number;
  /** Initial addresses of control processes. */
  readonly control: readonly ServerAddress[];
  readonly dialect: HttpDialect;
  /** How long requests are served after the control plane confirmed the rules, in milliseconds. */
  readonly confirmationMs: number;
  /** Time within which a change of rules is in force at every gateway, in milliseconds. Permanent refusals need rules confirmed more recently. */
  readonly changesWithinMs: number;
  /** The budget for retries, shared by all gateways. */
  readonly retries: {
    /** Retries allowed per request to the pool. */
    readonly ratio: number;
    readonly windowMs: number;
    /** Retries allowed in each window beyond the ratio. */
    readonly slack: number;
  };
  /** From the signal to stop until the process is killed, in milliseconds. */
  readonly stopWithinMs: number;
  /** How many descriptors the process may have open; the limit of the process by default. */
  readonly maxDescriptors?: number;
  /** Memory in bytes for all buffers of the process; without it, parts of the limit of its control group. */
  readonly bufferBytes?: number;
}
