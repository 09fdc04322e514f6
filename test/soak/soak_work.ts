/** What the backend servers did for one request. */
export interface SoakWork {
  /** How often it was run. */
  runs: number;
  /** A backend server broke its answer off by itself. */
  hasBroken: boolean;
  /** Names of the backend servers that ran it. */
  readonly at: Set<string>;
}
