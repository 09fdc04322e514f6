/** Input and result of `runSchedulingSimulation`. */
import {EngineProfile} from '../../src/protocol/engine_profile';

/** Requests of one urgency and workspace. */
export interface SchedulingKind {
  readonly name: string;
  readonly urgency: number;
  readonly workspace: string;
  readonly objectiveMs: number;
  readonly promptTokens: number;
  readonly events: number;
  /** Streams per second over all gateways, by time in milliseconds. */
  readonly perSecondAt: (at: number) => number;
}

export interface SchedulingOptions {
  readonly gateways: number;
  readonly heads: number;
  readonly kinds: readonly SchedulingKind[];
  readonly lengthMs: number;
  readonly random: () => number;
  /** Figures of the engines; by default those of `ENGINE_PROFILE`. */
  readonly engine?: EngineProfile;
  /** Requests beyond its slots that an engine keeps until one is free; 0 by default. */
  readonly engineQueue?: number;
  /** Factor on all times of the engines; 1 by default. */
  readonly pace?: number;
  /** Time between the reports of a gateway; 250 ms by default. */
  readonly reportMs?: number;
  /** Whether a leader sums the queues of the gateways, and closes less urgent levels. */
  readonly agreement?: 'arrivals' | 'levels';
}

/** What became of one stream. */
export interface ScheduledStream {
  readonly kind: SchedulingKind;
  readonly arrivedAt: number;
  readonly promptTokens: number;
  /** From its arrival until it was sent, the last time. */
  waitMs?: number;
  firstEventMs?: number;
  /** Whether its caller was still there. */
  isServed: boolean;
  /** Milliseconds from each arrival to its refusal. */
  readonly refusedAfterMs: number[];
  /** Its caller returned when it was told to. */
  hasReturned: boolean;
}

/** All streams, and the use of slots. */
export interface SchedulingResult {
  readonly streams: readonly ScheduledStream[];
  /** Fraction of the slots in use, over the times at which any request waited. */
  readonly usedSlots: number;
  /** Attempts refused by full engines, and all attempts. */
  readonly refusedSends: number;
  readonly sends: number;
}
