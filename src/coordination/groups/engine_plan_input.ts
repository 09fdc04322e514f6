import {EngineGroup} from '../../protocol/engine_group';
import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';
import {DemandForecast} from './demand_forecast';
import {EnginePolicy} from './engine_policy';
import {ModelNeed} from './model_need';

/** Input of the planner for the engines of one pool. */
export interface EnginePlanInput {
  readonly pool: string;
  readonly profile: EngineProfile;
  /** The committed groups of the pool. */
  readonly groups: readonly EngineGroup[];
  /** Backend servers of the pool that have registered. */
  readonly backends: readonly BackendView[];
  /** Desired number of groups per model by its share of the load, spares excluded. */
  readonly desiredGroups: ReadonlyMap<string, number>;
  /** Cold start: no host has weights and nothing is served yet, so groups may wait for loads. */
  readonly isColdStart: boolean;
  readonly now: number;
  /** Time without a heartbeat after which a backend server joins no new group. */
  readonly silentAfterMs: number;
  /** A new leader is in its grace period: members that it has not heard from yet do not count as lost. */
  readonly isInGracePeriod: boolean;
  /** False for a while after hosts were reassigned, so that they do not oscillate. */
  readonly mayRebalance: boolean;
  /** The newest log index, which is at least as high as any epoch that an engine has seen. */
  readonly epoch: number;
  /** Returns the model that an engine was ordered to load and has not loaded yet. */
  readonly findLoadingModel: (incarnation: string) => string | undefined;
  /** Model whose share was just raised; groups of other models are ended for it. */
  readonly recipientModel?: string;
  /** Urgency and measured need by model; absent where urgency does not count. */
  readonly needs?: ReadonlyMap<string, ModelNeed>;
  /** What the measured demand makes of a number of groups; absent while it is not measured. */
  readonly forecast?: DemandForecast;
  /** How long a group of so many members can be expected to last, in milliseconds; absent if no losses are counted. */
  readonly estimateLifetimeMs?: (size: number) => number;
  /** The model is saturated: its requests are refused for lack of free slots. */
  readonly isSaturated: (model: string) => boolean;
  /** The backend server is draining or has announced that it stops. */
  readonly isRetired: (incarnation: string) => boolean;
  /** No requests are sent to backend servers of this availability zone; absent where none is evacuated. */
  readonly isEvacuated?: (zone: string) => boolean;
  /** Free hosts that are kept to replace a leaving member; none by default. */
  readonly replacements?: ReadonlySet<string>;
  /** The backend server does not answer, so its group has stalled or soon will. */
  readonly isLost: (incarnation: string) => boolean;
  /** The unreachable or dead head is known to use none of its members any more. */
  readonly isHeadStopped: (group: EngineGroup) => boolean;
  /** A member has left that the head may still rely on. */
  readonly hasDepartedMember: (group: EngineGroup) => boolean;
  /** Mechanisms to disable; none by default. */
  readonly policy?: EnginePolicy;
}
