/** The coverage of the demand and the use of the hosts. */
export interface EngineFleetResult {
  /** Fraction of the demand served, averaged over models and time. */
  readonly covered: number;
  /** The same fraction in the two worst windows. */
  readonly worst: number;
  readonly byModel: Readonly<Record<string, number>>;
  /** Fraction of each model's answers that are in time with its groups, by `estimateLateFraction`. */
  readonly inTime: Readonly<Record<string, number>>;
  readonly loads: number;
  /** Seconds that hosts spent in each state, summed over hosts. */
  readonly hostSeconds: Readonly<Record<string, number>>;
  /** The planner's changes of groups. */
  readonly log: readonly string[];
}
