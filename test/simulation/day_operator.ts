import {createBundle} from './create_bundle';
import {CHANGES_PER_VERDICT} from './day_limits';
import {VerdictLedger} from './verdict_ledger';
import {VirtualMachine} from './virtual_machine';
import {VirtualTime} from './virtual_time';

/** What the operator works with. */
interface DayOperatorOptions {
  readonly time: VirtualTime;
  readonly random: () => number;
  readonly verdicts: VerdictLedger;
  readonly listMachines: () => readonly VirtualMachine[];
  /** Time between two changes, on average, in milliseconds. */
  readonly findIntervalMs: () => number;
  readonly onAcked: (version: number) => void;
}

/** The operator of a day, who sends one change after the other to whoever leads. */
export class DayOperator {
  private version = 0;

  private constructor(private readonly options: DayOperatorOptions) {}

  static create(options: DayOperatorOptions): DayOperator {
    return new DayOperator(options);
  }

  /** Sends a change to the leader, and schedules the next one. */
  change(): void {
    const {time, random, verdicts, onAcked} = this.options;
    const everyMs = this.options.findIntervalMs();
    time.after(everyMs * (0.5 + random()), () => this.change());
    const machines = this.options.listMachines();
    const leader = machines.find(({runtime}) => runtime?.canServe());
    const {desk, runtime, station} = leader ?? {};
    if (!leader || !desk || !runtime || leader.isFrozen) {
      return;
    }
    const isAnswered = () => leader.station === station && runtime.canServe();
    this.version += 1;
    const version = this.version;
    if (version % CHANGES_PER_VERDICT === 0) {
      verdicts.convict(runtime, isAnswered);
    }
    verdicts.evacuations?.order(desk, isAnswered);
    desk.handlers['channel-bundle-ask']({
      type: 'channel-bundle-ask',
      call: version,
      bundle: createBundle(version),
    })
      .then(() => {
        if (isAnswered()) {
          onAcked(version);
        }
      })
      .catch(() => undefined);
  }
}
