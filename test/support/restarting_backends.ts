/** Backend servers that end under certain requests and start again after a while, each time as another start. */
import {FakeBackend} from './fake_backend';

type Handler = Parameters<typeof FakeBackend.create>[0];

/** How the backend servers behave. */
interface RestartingBackendsOptions {
  readonly count: number;
  readonly handle: Handler;
  /** True for the body of a request whose run ends its backend server. */
  readonly crashesOn: (body: string) => boolean;
  /** From the arrival of such a request to the end. */
  readonly crashDelayMs: number;
  readonly restartDelayMs: number;
}

interface Slot {
  start: number;
  /** Undefined while nobody listens. */
  backend: FakeBackend | undefined;
}

/** Some backend servers, with a record of what reached them. */
export class RestartingBackends {
  /** Bodies of requests in the order in which they reached a backend server. */
  readonly receivedRequests: Array<{
    readonly at: number;
    readonly body: string;
  }> = [];
  /** When a backend server ended. */
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

  /** Starts that live, with their addresses. */
  list(): Array<{incarnation: string; address: string}> {
    return this.slots.flatMap(({start, backend}, at) =>
      backend
        ? [{incarnation: `s${at}-${start}`, address: backend.address}]
        : [],
    );
  }

  /** Ends one backend server now. */
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
