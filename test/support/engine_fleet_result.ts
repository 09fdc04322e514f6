/** What part of the demand was covered, and how the hosts spent their time. */
export interface EngineFleetResult {
  /** Mean over models and time, 0 to 1. */
  readonly covered: number;
  /** The same of the two worst windows. */
  readonly worst: number;
  readonly byModel: Readonly<Record<string, number>>;
  readonly loads: number;
  /** Seconds that hosts spent in each state, summed. */
  readonly hostSeconds: Readonly<Record<string, number>>;
  /** Groups formed and ended, as the planner gave them. */
  readonly log: readonly string[];
}
