/**
 * One engine on a virtual clock: it reads prompts and writes events in passes, so
 * what comes in the middle of a pass waits for its end, and a prompt that does not
 * fit beside others waits for the next.
 */

/** How fast it is. */
export interface BatchingProfile {
  readonly slots: number;
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  readonly tokensPerMs: number;
  /** Prompt tokens that one step reads at most. */
  readonly chunkTokens: number;
  readonly stepsPerEvent: number;
  /** Factor on all times. */
  readonly pace: number;
}

/** One request at an engine. */
interface Job {
  unreadTokens: number;
  eventsLeft: number;
  hasBegun: boolean;
  lastEventAt: number;
  readonly onEvent: (at: number, pauseMs: number) => void;
  readonly onEnd: (at: number) => void;
}

/** Plays the passes of one engine. */
export class BatchingEngine {
  private readonly queue: Job[] = [];
  private running: Job[] = [];
  private passEndsAt: number | undefined;

  private constructor(private readonly profile: BatchingProfile) {}

  static create(profile: BatchingProfile): BatchingEngine {
    return new BatchingEngine(profile);
  }

  /** When the pass under way ends; undefined while there is nothing to do. */
  get batchEndsAt(): number | undefined {
    return this.passEndsAt;
  }

  get load(): number {
    return this.running.length + this.queue.length;
  }

  add(
    now: number,
    work: Pick<Job, 'unreadTokens' | 'eventsLeft' | 'onEvent' | 'onEnd'>,
  ): void {
    this.queue.push({...work, hasBegun: false, lastEventAt: now});
    if (this.passEndsAt === undefined) {
      this.startPass(now);
    }
  }

  /** Ends the pass whose time has come. */
  endBatch(): void {
    const at = this.passEndsAt ?? 0;
    for (const job of this.running.filter(({unreadTokens}) => !unreadTokens)) {
      job.onEvent(at, job.hasBegun ? at - job.lastEventAt : 0);
      job.hasBegun = true;
      job.lastEventAt = at;
      job.eventsLeft -= 1;
      if (job.eventsLeft <= 0) {
        job.onEnd(at);
      }
    }
    this.running = this.running.filter(({eventsLeft}) => eventsLeft > 0);
    this.passEndsAt = undefined;
    if (this.load > 0) {
      this.startPass(at);
    }
  }

  private startPass(now: number): void {
    const {profile} = this;
    const free = profile.slots - this.running.length;
    this.running.push(...this.queue.splice(0, free));
    const writers = this.running.filter(job => job.hasBegun).length;
    const steps = writers > 0 ? profile.stepsPerEvent : 1;
    let budget = profile.chunkTokens * steps;
    let readTokens = 0;
    for (const job of this.running) {
      const taken = Math.min(job.unreadTokens, budget);
      job.unreadTokens -= taken;
      budget -= taken;
      readTokens += taken;
    }
    const stepMs = profile.stepMs + writers * profile.stepMsPerRequest;
    const tookMs = steps * stepMs + readTokens / profile.tokensPerMs;
    this.passEndsAt = now + tookMs * profile.pace;
  }
}
