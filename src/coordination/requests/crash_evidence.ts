/** The crash of a backend server while it ran a request. */
export interface CrashEvidence {
  readonly incarnation: string;
  /** Wall-clock milliseconds, as committed in the replicated log. */
  readonly time: number;
  /** The response had started, so the request had run for a while without harm. */
  readonly hadBegun: boolean;
  /** For a part: it, or the request that held it, ran there in a trial, as the only suspect. */
  readonly inTrial?: boolean;
}
