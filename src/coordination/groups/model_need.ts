/** How urgent a model's requests are, and how many groups they need by the engine's figures. */
export interface ModelNeed {
  /** Mean weight of one of its requests relative to those of the pool; the highest value is the most urgent. */
  readonly weight: number;
  /** Groups that are busy with the measured demand; with no more, many answers are late. */
  readonly busyGroups: number;
  /** Groups with which few answers are late. */
  readonly sufficientGroups: number;
}
