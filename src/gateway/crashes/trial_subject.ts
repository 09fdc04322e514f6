/** The suspect for which a request needs a trial: the request itself, or a part of its prompt. */
export interface TrialSubject {
  readonly name: string;
  /** The name of the request if the suspect is a part of its prompt. */
  readonly request?: string;
  /** True for a request with a convicted part that the verdict does not cover. */
  readonly isUncovered?: boolean;
}
