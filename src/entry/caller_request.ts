/** A caller's validated request. */
export interface CallerRequest {
  readonly requestId: string;
  readonly workspace: string;
  readonly priority: number;
  readonly kind: 'model' | 'service';
  /** Name of the model or service that is called. */
  readonly name: string;
  readonly method: string;
  /** Path that is requested from the backend server. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** False for a request that must run at most once. */
  readonly isRepeatable: boolean;
  /** Sent by the caller, or generated for this request. */
  readonly idempotencyKey: string;
  /** Milliseconds on this process's monotonic clock. */
  readonly deadline: number;
}
