/** One level of one gateway, as last reported. */
export interface ReportedLevel {
  readonly urgency: number;
  readonly requestsPerSecond: number;
  /** Since the gateway sent the report. */
  readonly ageMs: number;
  /** For how long its reports have had waiting requests without a break; undefined if the newest has none. */
  readonly waitingForMs?: number;
  /** From the last refusal for want of a slot to the report; undefined if none was lately. */
  readonly refusedMsAgo?: number;
}
