/**
 * One simulated engine with continuous batching on a virtual clock: it reads prompts
 * and emits events in batches. A request that arrives during a batch waits for the
 * batch to end, and prompt tokens beyond the batch's budget wait for the next one.
 */

/** Speed and capacity of an engine. */
export interface BatchingProfile {
  readonly slots: number;
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  readonly tokensPerMs: number;
  /** Maximum number of prompt tokens per step. */
  readonly chunkTokens: number;
  readonly stepsPerEvent: number;
  /** Factor on all durations. */
  readonly pace: number;
}

/** One request at an engine. */
interface Job {
  unreadTokens: number;
  eventsLeft: number;
  hasStarted: boolean;
  lastEventAt: number;
  readonly onEvent: (at: number, pauseMs: number) => void;
  readonly onEnd: (at: number) => void;
}

/** Simulates the batches of one engine. */
export class BatchingEngine {
  private readonly queue: Job[] = [];
  private running: Job[] = [];
  private currentBatchEndsAt: number | undefined;

  private constructor(private readonly profile: BatchingProfile) {}

  static create(profile: BatchingProfile): BatchingEngine {
    return new BatchingEngine(profile);
  }

  /** When the current batch ends; undefined while the engine is idle. */
  get batchEndsAt(): number | undefined {
    return this.currentBatchEndsAt;
  }

  get load(): number {
    return this.running.length + this.queue.length;
  }

  add(
    now: number,
    work: Pick<Job, 'unreadTokens' | 'eventsLeft' | 'onEvent' | 'onEnd'>,
  ): void {
    this.queue.push({...work, hasStarted: false, lastEventAt: now});
    if (this.currentBatchEndsAt === undefined) {
      this.startBatch(now);
    }
  }

  /** Ends the current batch, and starts the next one if there is work. */
  endBatch(): void {
    const at = this.currentBatchEndsAt ?? 0;
    for (const job of this.running.filter(({unreadTokens}) => !unreadTokens)) {
      job.onEvent(at, job.hasStarted ? at - job.lastEventAt : 0);
      job.hasStarted = true;
      job.lastEventAt = at;
      job.eventsLeft -= 1;
      if (job.eventsLeft <= 0) {
        job.onEnd(at);
      }
    }
    this.running = this.running.filter(({eventsLeft}) => eventsLeft > 0);
    this.currentBatchEndsAt = undefined;
    if (this.load > 0) {
      this.startBatch(at);
    }
  }

  private startBatch(now: number): void {
    const {profile} = this;
    const freeSlots = profile.slots - this.running.length;
    this.running.push(...this.queue.splice(0, freeSlots));
    const generating = this.running.filter(job => job.hasStarted).length;
    const steps = generating > 0 ? profile.stepsPerEvent : 1;
    let budget = profile.chunkTokens * steps;
    let readTokens = 0;
    for (const job of this.running) {
      const taken = Math.min(job.unreadTokens, budget);
      job.unreadTokens -= taken;
      budget -= taken;
      readTokens += taken;
    }
    const stepMs = profile.stepMs + generating * profile.stepMsPerRequest;
    const tookMs = steps * stepMs + readTokens / profile.tokensPerMs;
    this.currentBatchEndsAt = now + tookMs * profile.pace;
  }
}
