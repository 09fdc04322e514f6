/** Input of the repair cost model: the state of a group that lost members. */
export interface BrokenGroup {
  /** Time since any of the lost members was last heard. */
  readonly silentMs: number;
  /** A lost member is back as a new process, so the old one will not return. */
  readonly hasRestarted: boolean;
  /** Highest number of recent losses among the lost members. */
  readonly recentLosses: number;
  readonly size: number;
  readonly survivors: number;
  readonly acceleratorsPerHost: number;
  readonly worth: number;
  /** Time until a free host serves the model: the weight store's queue and the load. */
  readonly spareLoadMs: number;
  /** Time until a complete group is loaded in another domain. */
  readonly rebuildLoadMs: number;
  readonly hasSpares: boolean;
  readonly canRebuild: boolean;
  /** Lowest worth of a group in the domain that could donate hosts; undefined for none. */
  readonly donorWorth: number | undefined;
  /** The remaining members could complete another group as soon as they are free. */
  readonly canReassignSurvivors: boolean;
  readonly weights: {
    readonly groupDowntime: number;
    readonly strandedAccelerators: number;
  };
}
