/** How control tells engines what to form; the way to them is the adapter's. */

/** What an engine is told to do about a group, or to its host's copy of the weights. */
interface EngineOrder {
  readonly kind: 'join' | 'open' | 'close' | 'leave' | 'stage';
  /** Absent for `stage`. */
  readonly group?: {readonly name: string; readonly epoch: number};
  /** For `join` and `stage`. */
  readonly model?: string;
  /** For `join`: incarnations in order, the head first. */
  readonly members?: readonly string[];
}

/** One order on its way. */
interface OrderCall {
  readonly incarnation: string;
  /** `host:port`. */
  readonly address: string;
  readonly order: EngineOrder;
  /** Rises with each leader; engines refuse a lower one than they saw. */
  readonly fence: number;
  /** Orders that it took by what its answers said; its own report lags behind. */
  readonly ordersTaken: number;
}

/** What became of an order. `unanswered` may have been taken, also later. */
type OrderOutcome = 'begun' | 'holds' | 'unfit' | 'fenced' | 'unanswered';

/** An engine's answer to an order. */
interface OrderAnswer {
  readonly outcome: OrderOutcome;
  /** Orders that it has taken now; absent where its answer does not tell. */
  readonly ordersTaken?: number;
}

/** Gives orders to engines. */
export interface EngineClient {
  readonly send: (call: OrderCall) => Promise<OrderAnswer>;
  /** Asks whether this very start of an engine answers. */
  readonly probe: (address: string, incarnation: string) => Promise<boolean>;
}
