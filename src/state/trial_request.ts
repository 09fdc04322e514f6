/** The suspect that a gateway wants to send, and where. */
export interface TrialRequest {
  readonly name: string;
  readonly incarnation: string;
  /** The request, where the suspect is a part of its prompt. */
  readonly request?: string;
  /** True for a request with a convicted part that the verdict does not cover. */
  readonly isUncovered?: boolean;
}
