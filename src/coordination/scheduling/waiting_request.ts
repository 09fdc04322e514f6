/** A request that waits for an engine slot; times are milliseconds of the caller's monotonic clock. */
export interface WaitingRequest {
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Requests without a workspace share one. */
  readonly workspace: string;
  /** Engine time that its prompt and its expected answer take. */
  readonly workMs: number;
  /** When it must begin for its first event to meet the objective. */
  readonly latestStartAt: number;
  /** When it must begin for its first event to arrive before its caller disconnects. */
  readonly expiresAt: number;
}
