import {EngineProfile} from '../../protocol/engine_profile';

/** The targets that are eligible for a request. */
export interface TargetQuery {
  readonly pool: string;
  /** Includes targets without a free slot, which queue the request. */
  readonly mayQueue: boolean;
  /** Excludes rate-limited targets, whose permit may be denied. */
  readonly excludesLimited?: boolean;
  readonly model?: string;
  /** Absent for a plain service. */
  readonly engine?: EngineProfile;
  readonly promptTokens?: number;
  /** Keys of targets on which the request has already failed. */
  readonly excluded: ReadonlySet<string>;
}
