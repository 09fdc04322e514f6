/** A caller's request after its headers were checked. */
export interface CallerRequest {
  readonly requestId: string;
  readonly workspace: string;
  readonly priority: number;
  readonly kind: 'model' | 'service';
  /** Name of the model or service. */
  readonly name: string;
  readonly method: string;
  /** Path at the backend server. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** False for a request that must run at most once. */
  readonly isRepeatable: boolean;
  /** The caller's, or one made for this request. */
  readonly idempotencyKey: string;
  /** Milliseconds on this process's monotonic clock. */
  readonly deadline: number;
}
