/** A caller's request, parsed from its headers. */
export interface GatewayRequest {
  /** The id that the caller chose; responses carry it back. */
  readonly id: string;
  /** Lower case, without a port. */
  readonly host: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  /** The API key that the caller sent. */
  readonly key?: string;
  /** How long the caller waits, in milliseconds from arrival. */
  readonly waitMs?: number;
  readonly model?: string;
  readonly promptTokens: number;
  /** Ids of the parts of its prompt that other requests may share, in their order. */
  readonly promptParts?: readonly string[];
  /** The id of the last event that the caller has received. */
  readonly lastEventId?: string;
  /** Alternating names and values, as forwarded to a backend server. */
  readonly forwardedHeaders: readonly string[];
}
