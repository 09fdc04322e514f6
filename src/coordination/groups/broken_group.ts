/** What is known about a broken group. */
export interface BrokenGroup {
  /** How long its lost members have been silent: the shortest silence. */
  readonly silentMs: number;
  /** Members that surely will not return as they were: their process is another one. */
  readonly hasRestarted: boolean;
  /** Most losses that one of the lost members had lately. */
  readonly recentLosses: number;
  readonly size: number;
  readonly survivors: number;
  readonly acceleratorsPerHost: number;
  readonly worth: number;
  /** Until a free host serves the model: loading and the weight store's queue. */
  readonly spareLoadMs: number;
  /** Until a whole group is loaded elsewhere. */
  readonly rebuildLoadMs: number;
  readonly hasSpares: boolean;
  readonly canRebuild: boolean;
  /** Worth of the cheapest group of the domain that could give hosts; undefined for none. */
  readonly donorWorth: number | undefined;
  /** The survivors could complete another group as soon as they are free. */
  readonly canReassignSurvivors: boolean;
  readonly weights: {
    readonly groupDowntime: number;
    readonly strandedAccelerators: number;
  };
}
