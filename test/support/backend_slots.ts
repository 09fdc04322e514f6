/** Backend servers that end under certain requests and start again after a while, each time as another start. */
import {BackendStandIn} from './backend_stand_in';

type Handler = Parameters<typeof BackendStandIn.create>[0];

/** How the backend servers behave. */
interface BackendSlotsOptions {
  readonly count: number;
  readonly handle: Handler;
  /** True for the body of a request whose run ends its backend server. */
  readonly endsUnder: (body: string) => boolean;
  /** From the arrival of such a request to the end. */
  readonly endsAfterMs: number;
  readonly backAfterMs: number;
}

interface Slot {
  start: number;
  /** Undefined while nobody listens. */
  backend: BackendStandIn | undefined;
}

/** Some backend servers, with a record of what reached them. */
export class BackendSlots {
  /** Bodies of requests in the order in which they reached a backend server. */
  readonly reached: Array<{readonly at: number; readonly body: string}> = [];
  /** When a backend server ended. */
  readonly ends: number[] = [];
  private readonly slots: Slot[];
  private readonly timers = new Set<NodeJS.Timeout>();

  private constructor(private readonly options: BackendSlotsOptions) {
    this.slots = Array.from({length: options.count}, () => ({
      start: 0,
      backend: undefined,
    }));
  }

  static async create(options: BackendSlotsOptions): Promise<BackendSlots> {
    const slots = new BackendSlots(options);
    await Promise.all(slots.slots.map(slot => slots.begin(slot)));
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
  end(at: number): void {
    this.endSlot(this.slots[at]);
  }

  close(): void {
    this.timers.forEach(timer => clearTimeout(timer));
    this.slots.forEach(({backend}) => backend?.close());
  }

  private async begin(slot: Slot): Promise<void> {
    slot.start += 1;
    slot.backend = await BackendStandIn.create(request => {
      const {body} = request;
      this.reached.push({at: performance.now(), body});
      if (this.options.endsUnder(body)) {
        const {start} = slot;
        this.delay(this.options.endsAfterMs, () => {
          if (slot.start === start) {
            this.endSlot(slot);
          }
        });
        return;
      }
      this.options.handle(request);
    });
  }

  private endSlot(slot: Slot): void {
    if (!slot.backend) {
      return;
    }
    slot.backend.close();
    slot.backend = undefined;
    this.ends.push(performance.now());
    this.delay(this.options.backAfterMs, () => void this.begin(slot));
  }

  private delay(ms: number, act: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      act();
    }, ms);
    this.timers.add(timer);
  }
}
