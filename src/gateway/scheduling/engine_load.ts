/** What the load balancer knows of the engines of one model that accept requests. */
export interface EngineLoad {
  /** Slots that no gateway is known to use. */
  readonly freeSlots: number;
  /** Requests of all gateways that are known to run. */
  readonly running: number;
}
