/** Port through which control sends orders to engines; an adapter implements the transport. */
import {ServerAddress} from '../common/server_address';

/** A change to an engine's group membership, or to the weights stored on its host. */
interface EngineOrder {
  readonly kind: 'join' | 'open' | 'close' | 'leave' | 'stage';
  /** Absent for `stage`. */
  readonly group?: {readonly name: string; readonly epoch: number};
  /** For `join` and `stage`. */
  readonly model?: string;
  /** For `join`: incarnations in order, the head first. */
  readonly members?: readonly string[];
}

/** An order with its recipient and its fencing token. */
interface OrderCall {
  readonly incarnation: string;
  readonly address: ServerAddress;
  readonly order: EngineOrder;
  /** Fencing token, which increases with each leader; engines reject a lower one than they have seen. */
  readonly fence: number;
  /** Number of orders that the engine has accepted according to its answers; its own report lags behind. */
  readonly ordersTaken: number;
}

/** The outcome of an order. An `unanswered` one may have been accepted, or may still be. */
type OrderOutcome = 'begun' | 'holds' | 'unfit' | 'fenced' | 'unanswered';

/** An engine's answer to an order. */
interface OrderAnswer {
  readonly outcome: OrderOutcome;
  /** Number of orders accepted so far; absent when unknown. */
  readonly ordersTaken?: number;
  /** Why an order is unanswered, for the log. */
  readonly failure?: string;
}

/** Sends orders to engines and probes them. */
export interface EngineClient {
  readonly send: (call: OrderCall) => Promise<OrderAnswer>;
  /** Checks whether this incarnation of an engine responds. */
  readonly probe: (
    address: ServerAddress,
    incarnation: string,
  ) => Promise<boolean>;
}
