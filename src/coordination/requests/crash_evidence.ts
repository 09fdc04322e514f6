/** One end of a backend server on which a request ran. */
export interface CrashEvidence {
  readonly incarnation: string;
  /** Committed wall-clock milliseconds. */
  readonly time: number;
  /** Its answer had begun: it had run for a while without harm. */
  readonly hadBegun: boolean;
}
