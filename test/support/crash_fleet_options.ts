/** Sizes, load and faults. */
export interface CrashFleetOptions {
  readonly gateways: number;
  readonly servers: number;
  /** Healthy streams a second at all gateways. */
  readonly perSecond: number;
  readonly streamMs: number;
  readonly durationMs: number;
  /** Different requests that end backend servers, and how often each is repeated by its caller. */
  readonly marked: number;
  readonly poisonRetryMs: number;
  /** When backend servers end by themselves, and how many. */
  readonly losses: ReadonlyArray<{readonly at: number; readonly count: number}>;
  /** Between two kills of a gateway, which forgets everything; none without it. */
  readonly killEveryMs?: number;
  /** Between two losses of the leader; control answers nothing for a while then. */
  readonly leaderLostEveryMs?: number;
  /** The longest way of news from control to a gateway. */
  readonly newsMs: number;
  /** Mechanisms that are switched off. */
  readonly without?: 'trials' | 'sharing';
  /** Uniform in [0, 1), seeded. */
  readonly random: () => number;
}
