/** One way to repair a broken group, and its expected cost. */
export interface RepairOption {
  /**
   * - `wait`: leave the group unchanged for now
   * - `spare`: replace lost members with free hosts of the same domain
   * - `rebuild`: remove the group and form it in another domain
   * - `take`: drain a group of lower worth for its hosts
   * - `break-up`: remove the group and free the remaining members
   */
  readonly action: 'wait' | 'spare' | 'rebuild' | 'take' | 'break-up';
  /** Weighted accelerator-seconds. */
  readonly cost: number;
}
