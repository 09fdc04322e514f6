/** Mechanisms of the planner, all enabled by default; tests and experiments disable them one by one. */
export interface EnginePolicy {
  /** Hosts of several domains form a slower group if a model has few groups. */
  readonly formsCrossDomainGroups?: boolean;
  /** Serving groups give up their hosts to a model with greater need. */
  readonly movesHosts?: boolean;
  /** Groups held by an unreachable head count when moves are planned, since they return within seconds. */
  readonly countsHeldGroups?: boolean;
  /** Free hosts are reserved for a model with greater need that can soon form a group of them. */
  readonly reservesHosts?: boolean;
  /** Hosts held by an unreachable head count as soon available for reservations. */
  readonly reservesHeldHosts?: boolean;
  /** Late answers are weighted by urgency when hosts are split among models. */
  readonly splitsByUrgency?: boolean;
  /** Groups of the most urgent model that lacks some are formed first, and spare ones of others later. */
  readonly restoresByUrgency?: boolean;
  /** Groups of a less urgent model end for a more urgent one that lacks groups for its measured demand. */
  readonly movesByUrgency?: boolean;
}
