/** Sizes, load and faults of a simulation by `runCrashFleet`. */
export interface CrashFleetOptions {
  readonly gateways: number;
  readonly servers: number;
  /** Healthy streams per second over all gateways. */
  readonly perSecond: number;
  readonly streamMs: number;
  readonly durationMs: number;
  /** Distinct poison requests, which crash backend servers, and the average interval at which callers repeat each. */
  readonly marked: number;
  readonly poisonRetryMs: number;
  /**
   * Parts of the prompts of the poison requests and of the healthy ones, each by its number. With
   * them no two poison requests are alike, and each of their kinds stands for one poison part.
   */
  readonly parts?: {
    readonly ofMarked: (marked: number) => readonly string[];
    readonly ofHealthy: (count: number) => readonly string[];
  };
  /** Time from the arrival of a poison request until its backend server crashes. */
  readonly crashDelayMs?: number;
  /** Until when poison parts crash backend servers; for the whole time by default. */
  readonly poisonUntilMs?: number;
  /** When backend servers crash on their own, and how many. */
  readonly losses: ReadonlyArray<{readonly at: number; readonly count: number}>;
  /** Average interval between restarts of a gateway, which loses all its state; undefined for none. */
  readonly killEveryMs?: number;
  /** Average interval between leader losses, during which control rejects calls for a while. */
  readonly leaderLostEveryMs?: number;
  /** The longest delay of an update from control to a gateway. */
  readonly newsMs: number;
  /** The mechanism that is switched off. */
  readonly without?: 'trials' | 'sharing';
  /** Uniform in [0, 1), seeded. */
  readonly random: () => number;
}
