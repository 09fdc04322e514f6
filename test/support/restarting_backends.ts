/** Fake backend servers that crash on certain requests and restart after a delay under a new incarnation. */
import {FakeBackend} from './fake_backend';

type Handler = Parameters<typeof FakeBackend.create>[0];

/** How the backend servers behave. */
interface RestartingBackendsOptions {
  readonly count: number;
  readonly handle: Handler;
  /** True for the body of a request that crashes its backend server. */
  readonly crashesOn: (body: string) => boolean;
  /** Time from the arrival of such a request to the crash. */
  readonly crashDelayMs: number;
  readonly restartDelayMs: number;
}

interface Slot {
  start: number;
  /** Undefined while the backend server is down. */
  backend: FakeBackend | undefined;
}

/** A set of backend servers that records received requests and crashes. */
export class RestartingBackends {
  /** Bodies of requests in order of arrival at any of the backend servers. */
  readonly receivedRequests: Array<{
    readonly at: number;
    readonly body: string;
  }> = [];
  /** When a backend server crashed or was stopped. */
  readonly stopTimes: number[] = [];
  private readonly slots: Slot[];
  private readonly timers = new Set<NodeJS.Timeout>();

  private constructor(private readonly options: RestartingBackendsOptions) {
    this.slots = Array.from({length: options.count}, () => ({
      start: 0,
      backend: undefined,
    }));
  }

  static async create(
    options: RestartingBackendsOptions,
  ): Promise<RestartingBackends> {
    const slots = new RestartingBackends(options);
    await Promise.all(slots.slots.map(slot => slots.startSlot(slot)));
    return slots;
  }

  /** Lists the running backend servers by their current incarnations. */
  list(): Array<{incarnation: string; address: string}> {
    return this.slots.flatMap(({start, backend}, at) =>
      backend
        ? [{incarnation: `s${at}-${start}`, address: backend.address}]
        : [],
    );
  }

  /** Stops one backend server now; it restarts after the delay. */
  stop(at: number): void {
    this.stopSlot(this.slots[at]);
  }

  close(): void {
    this.timers.forEach(timer => clearTimeout(timer));
    this.slots.forEach(({backend}) => backend?.close());
  }

  private async startSlot(slot: Slot): Promise<void> {
    slot.start += 1;
    slot.backend = await FakeBackend.create(request => {
      const {body} = request;
      this.receivedRequests.push({at: performance.now(), body});
      if (this.options.crashesOn(body)) {
        const {start} = slot;
        this.delay(this.options.crashDelayMs, () => {
          if (slot.start === start) {
            this.stopSlot(slot);
          }
        });
        return;
      }
      this.options.handle(request);
    });
  }

  private stopSlot(slot: Slot): void {
    if (!slot.backend) {
      return;
    }
    slot.backend.close();
    slot.backend = undefined;
    this.stopTimes.push(performance.now());
    this.delay(this.options.restartDelayMs, () => void this.startSlot(slot));
  }

  private delay(ms: number, act: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      act();
    }, ms);
    this.timers.add(timer);
  }
}
