/** One way to deal with a broken group, and what it is expected to cost. */
export interface RepairOption {
  /**
   * - `wait`: keep the group as it is for now
   * - `spare`: replace lost members by free hosts of the same domain
   * - `rebuild`: give the survivors up and form the group in another domain
   * - `take`: replace lost members by hosts of a group of lower worth
   * - `break-up`: free the survivors
   */
  readonly action: 'wait' | 'spare' | 'rebuild' | 'take' | 'break-up';
  /** Weighted accelerator-seconds. */
  readonly cost: number;
}
