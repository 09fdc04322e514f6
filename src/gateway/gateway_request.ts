/** A caller's request after its headers were read. */
export interface GatewayRequest {
  /** The caller's name for this request; answers carry it back. */
  readonly id: string;
  /** Lower case, without a port. */
  readonly host: string;
  readonly method: string;
  /** Path and query, to the byte. */
  readonly path: string;
  /** The key that the caller sent. */
  readonly key?: string;
  /** Milliseconds that the caller waits, counted from arrival. */
  readonly waitMs?: number;
  readonly model?: string;
  readonly promptTokens: number;
  /** The last event that the caller already has. */
  readonly lastEventId?: string;
  /** Names and values in turn, as they go on to a backend server. */
  readonly forwardedHeaders: readonly string[];
}
