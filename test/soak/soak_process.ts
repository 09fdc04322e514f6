import {ManagedProcess} from '../support/managed_process';

/** What was done to a process, and when; on the monotonic clock. */
interface Disturbance {
  readonly what: 'killed' | 'frozen' | 'stopped';
  readonly from: number;
  to: number;
}

/** A process that can be killed, frozen, stopped and started again, with what it keeps or without. */
export abstract class SoakProcess {
  private process: ManagedProcess | undefined;
  /** It was told to stop and has not ended yet. */
  private isStopping = false;
  private readonly earlier: string[] = [];
  private readonly disturbances: Disturbance[] = [];
  /** What is done to it next begins when the last has ended. */
  private turn: Promise<void> = Promise.resolve();

  /** Tells it from others in logs. */
  abstract readonly label: string;

  /** Everything that its processes have written so far. */
  get log(): string[] {
    return [...this.earlier, ...(this.process?.lines ?? [])];
  }

  /** Set when its process ended though nobody ended it. */
  get unexpectedEnd(): string | undefined {
    return this.process?.hasExited && !this.isStopping
      ? `the process of ${this.label} ended by itself: ${this.process.stderr}`
      : undefined;
  }

  /** True when it was killed or frozen at some moment of this time. */
  wasHarmed(from: number, to: number): boolean {
    return this.listDisturbances(from, to).some(what => what !== 'stopped');
  }

  /** What was done to it at some moment of this time. */
  listDisturbances(from: number, to: number): Array<Disturbance['what']> {
    return this.disturbances
      .filter(each => each.from <= to && each.to >= from)
      .map(({what}) => what);
  }

  async start(): Promise<void> {
    this.process = await this.launch();
  }

  /** Ends it for good, whatever it does. */
  async close(): Promise<void> {
    await this.takeProcess()?.kill();
  }

  /** Kills it, and starts it again after a while, with what it keeps or without. */
  restartKilled(downMs: number, losesData = false): Promise<void> {
    return this.disturb('killed', async () => {
      await this.takeProcess()?.kill();
      if (losesData) {
        await this.deleteData();
      }
      await new Promise(resolve => setTimeout(resolve, downMs));
      await this.start();
    });
  }

  /** Freezes it for a while. */
  freeze(durationMs: number): Promise<void> {
    return this.disturb('frozen', async () => {
      this.process?.pause();
      await new Promise(resolve => setTimeout(resolve, durationMs));
      this.process?.resume();
    });
  }

  /** Stops it as planned, waits for its end and starts it again. */
  restartStopped(): Promise<void> {
    return this.disturb('stopped', async () => {
      this.isStopping = true;
      await this.process?.stop();
      this.takeProcess();
      this.isStopping = false;
      await this.start();
    });
  }

  protected abstract launch(): Promise<ManagedProcess>;

  protected async deleteData(): Promise<void> {}

  /** Undefined while no process has started. */
  protected get running(): ManagedProcess | undefined {
    return this.process;
  }

  private disturb(
    what: Disturbance['what'],
    step: () => Promise<void>,
  ): Promise<void> {
    const done = this.turn.then(async () => {
      const disturbance = {what, from: performance.now(), to: Infinity};
      this.disturbances.push(disturbance);
      await step();
      disturbance.to = performance.now();
    });
    this.turn = done.catch(() => undefined);
    return done;
  }

  private takeProcess(): ManagedProcess | undefined {
    const {process} = this;
    this.process = undefined;
    if (process) {
      void process.exited.then(() => this.earlier.push(...process.lines));
    }
    return process;
  }
}
