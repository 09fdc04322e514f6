/** The part of control that gateways of `runCrashFleet` call: the real suspect table, with delayed updates and times without a leader. */
import {isPartName} from '../../src/coordination/requests/is_part_name';
import {RequestIdentity} from '../../src/gateway/crashes/request_identity';
import {SuspectTable} from '../../src/state/suspect_table';
import {CrashContainment} from '../../src/gateway/crashes/crash_containment';
import {VirtualTime} from '../simulation/virtual_time';
import {CrashFleetOptions} from './crash_fleet_options';
import {Gateway} from './crash_fleet_parts';

type Calls = Parameters<typeof CrashContainment.create>[0]['calls'];

const CALL_DELAY_MS = 6;
/** Time from the loss of a leader until another one answers. */
const LEADERLESS_MS = 800;

export class SimulatedControl {
  /** When the last gateway learned of a verdict, by request name. */
  readonly fullyKnownAt = new Map<string, number>();
  private readonly table = SuspectTable.create();
  private readonly decidedAt = new Map<string, number>();
  private readonly informedGateways = new Map<string, Set<Gateway>>();
  private leaderlessUntil = 0;

  private constructor(
    private readonly time: VirtualTime,
    private readonly options: CrashFleetOptions,
    private readonly listGateways: () => readonly Gateway[],
  ) {}

  static create(
    time: VirtualTime,
    options: CrashFleetOptions,
    listGateways: () => readonly Gateway[],
  ): SimulatedControl {
    return new SimulatedControl(time, options, listGateways);
  }

  /** Time from each verdict until every gateway knew it, in milliseconds. */
  listPropagationMs(): number[] {
    return [...this.fullyKnownAt].map(
      ([name, at]) => at - (this.decidedAt.get(name) ?? at),
    );
  }

  /** Whether all gateways know a verdict that covers the request. */
  isKnownToAll({name, parts, caller}: RequestIdentity): boolean {
    const keys = parts.flatMap(part => [part, createVerdictKey(part, caller)]);
    return [name, ...keys].some(key => this.fullyKnownAt.has(key));
  }

  stopLeader(): void {
    this.leaderlessUntil = this.time.now() + LEADERLESS_MS;
  }

  /** Sends the whole suspect table to a gateway that has just started. */
  sendSnapshot(gateway: Gateway): void {
    const {random, newsMs} = this.options;
    this.time.after(random() * newsMs, () => {
      gateway.containment.apply(this.table.listChangesSince(0));
      gateway.isReady = true;
    });
  }

  createCalls(): Calls {
    return {
      report: ({crashes, released, cleared}) =>
        this.answer(() => {
          const now = this.time.now();
          crashes.forEach(crash => this.table.recordCrash(crash, now));
          released.forEach(name => this.table.endTrial(name));
          cleared.forEach(name => this.table.clearSuspect(name));
          this.recordVerdicts();
        }),
      askTrial: (subject, incarnation) =>
        this.options.without
          ? Promise.resolve('free')
          : this.answer(() => {
              const now = this.time.now();
              const verdict = this.table.beginTrial(
                {...subject, incarnation},
                now,
              );
              this.recordVerdicts();
              return verdict;
            }),
    };
  }

  /** Answers a call if there is a leader when it arrives; rejects it otherwise. */
  private answer<T>(act: () => T): Promise<T> {
    return new Promise((resolve, reject) =>
      this.time.after(CALL_DELAY_MS, () => {
        if (this.time.now() < this.leaderlessUntil) {
          reject(new Error('no leader'));
        } else {
          resolve(act());
        }
      }),
    );
  }

  private recordVerdicts(): void {
    for (const {name, type} of this.table.takeVerdictChanges()) {
      if (type === 'request-convicted' && !isPartName(name)) {
        this.decidedAt.set(name, this.time.now());
      }
    }
    this.recordPartVerdicts();
    if (this.options.without !== 'sharing') {
      this.notifyAll();
    }
  }

  /** Notes verdicts on parts that cover all requests with it, or all of one caller. */
  private recordPartVerdicts(): void {
    const {parts = []} = this.table.listChangesSince(0);
    for (const {name, standing, companions, caller} of parts) {
      const key = createVerdictKey(name, caller);
      const isVerdict = standing === 'convicted' && companions.length === 0;
      if (isVerdict && !this.decidedAt.has(key)) {
        this.decidedAt.set(key, this.time.now());
      }
    }
  }

  private notifyAll(): void {
    const {random, newsMs} = this.options;
    for (const gateway of this.listGateways()) {
      this.time.after(1 + random() * newsMs, () => {
        gateway.containment.apply(this.table.listChangesSince(0));
        this.recordKnown(gateway);
      });
    }
  }

  private recordKnown(gateway: Gateway): void {
    const count = this.listGateways().length;
    for (const name of this.decidedAt.keys()) {
      const knowing = this.informedGateways.get(name) ?? new Set();
      this.informedGateways.set(name, knowing.add(gateway));
      if (knowing.size === count && !this.fullyKnownAt.has(name)) {
        this.fullyKnownAt.set(name, this.time.now());
      }
    }
  }
}

function createVerdictKey(part: string, caller: string | undefined): string {
  return caller === undefined ? part : `${part} of ${caller}`;
}
