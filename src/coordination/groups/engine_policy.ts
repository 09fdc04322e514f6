/** Mechanisms of the plan, all on by default; tests and experiments switch them off one by one. */
export interface EnginePolicy {
  /** Hosts of several domains form a slow group where a model has few. */
  readonly formsCrossDomainGroups?: boolean;
  /** Serving groups give up their hosts for a model that is worse off. */
  readonly movesHosts?: boolean;
  /** A group that a silent head holds counts before hosts are moved: it is back in seconds. */
  readonly countsHeldGroups?: boolean;
  /** Free hosts are kept for a needier model that can soon form a group of them. */
  readonly reservesHosts?: boolean;
  /** Hosts that a silent head holds count as soon free for that. */
  readonly reservesHeldHosts?: boolean;
}
