import {EngineGroup} from '../../protocol/engine_group';
import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';
import {EnginePolicy} from './engine_policy';

/** What a plan for the engines of one pool is made from. */
export interface EnginePlanInput {
  readonly pool: string;
  readonly profile: EngineProfile;
  /** The committed groups of the pool. */
  readonly groups: readonly EngineGroup[];
  /** Backend servers of the pool that were heard. */
  readonly backends: readonly BackendView[];
  /** Groups that each model should have for its share of the work, spares aside. */
  readonly usual: ReadonlyMap<string, number>;
  /** No host has any weights: nobody is served yet, so groups may wait for loads. */
  readonly isFirstStart: boolean;
  readonly now: number;
  /** Silence after which a backend server is given no part in a new group. */
  readonly silentAfterMs: number;
  /** A new leader does not take a member that it never heard for lost. */
  readonly isStillListening: boolean;
  /** False for a while after hosts were moved, so that they do not go to and fro. */
  readonly mayRebalance: boolean;
  /** An epoch that no engine has seen a higher one of: the newest place in the log. */
  readonly epoch: number;
  /** The model that an engine was told to load and does not have yet. */
  readonly findLoading: (incarnation: string) => string | undefined;
  /** The model that the split of the hosts was just changed for; groups of others are ended for it. */
  readonly recipientModel?: string;
  /** Requests are refused for want of a place at this model. */
  readonly isPressed: (model: string) => boolean;
  /** It drains or said goodbye. */
  readonly isRetired: (incarnation: string) => boolean;
  /** It does not answer, so its group has stalled or soon will. */
  readonly isLost: (incarnation: string) => boolean;
  /** Its head, silent or dead, is proved to count on no member any more. */
  readonly isLetGo: (group: EngineGroup) => boolean;
  /** A member has left that the head may still count on. */
  readonly hasLeaver: (group: EngineGroup) => boolean;
  /** Mechanisms to do without; none by default. */
  readonly policy?: EnginePolicy;
}
