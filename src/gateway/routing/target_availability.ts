import {ZoneGuard} from './zone_guard';

/** What backend servers signalled about themselves in earlier responses. */
export interface TargetAvailability {
  readonly isAvailable: (incarnation: string) => boolean;
  /** True if each request needs a permit. */
  readonly isLimited: (incarnation: string) => boolean;
  /** Absent where no zone is ever evacuated. */
  readonly zones?: ZoneGuard;
}
