/** The leader's answers about requests under which backend servers ended. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {systemTimers} from '../common/system_timers';
import {Timers} from '../common/timers';
import {ControlMessage} from '../protocol/control_message';
import {MessageOf} from '../protocol/message_of';
import {BackendRegistry} from './backend_registry';
import {RaftRuntime} from './raft_runtime';

/**
 * Words of a backend server may travel for seconds; one that goes on speaking later
 * than this after its end was seen has not ended.
 */
const LAST_WORDS_MS = 5_000;
/** A backend server that lives speaks again within this. */
const SPEAKS_WITHIN_MS = 5_000;

type Ask<T extends ControlMessage['type']> = MessageOf<ControlMessage, T>;

/** What the desk works on. */
interface SuspectDeskOptions {
  readonly runtime: Pick<RaftRuntime, 'state' | 'propose'>;
  readonly events: EventRing;
  readonly registry: Pick<BackendRegistry, 'find'>;
  readonly clock: Clock;
  readonly timers?: Timers;
}

/** Answers calls; the caller makes sure that this process leads. */
export class SuspectDesk {
  private constructor(private readonly options: SuspectDeskOptions) {}

  /**
   * Creates a desk.
   *
   * @example
   * const desk = SuspectDesk.create({runtime, events, registry, clock});
   */
  static create(options: SuspectDeskOptions): SuspectDesk {
    return new SuspectDesk(options);
  }

  readonly handlers = {
    'ends-ask': (ask: Ask<'ends-ask'>) => this.recordSuspects(ask),
    'trial-ask': (ask: Ask<'trial-ask'>) => this.grantTrial(ask),
    'suspects-ask': ({call}: Ask<'suspects-ask'>): ControlMessage => {
      const {suspects} = this.options.runtime.state;
      const list = suspects.list();
      const told = list.map(([name, suspect]) => ({name, ...suspect}));
      return {type: 'suspects-answer', call, suspects: told};
    },
  };

  private async recordSuspects(ask: Ask<'ends-ask'>): Promise<ControlMessage> {
    const {call, gatewayId, crashes, released, cleared} = ask;
    const {runtime} = this.options;
    const time = Date.now();
    crashes.forEach(crash => this.recordCrash(gatewayId, crash));
    const before = runtime.state.suspects.version;
    const told = {time, crashes, released, cleared};
    const fresh = crashes.filter(
      ({incarnation}) => !runtime.state.suspects.hasCrashed(incarnation),
    );
    await runtime.propose({type: 'record-suspects', ...told});
    fresh.forEach(({incarnation}) => this.watch(incarnation));
    this.recordChanges(before);
    return {type: 'ends-answer', call};
  }

  /** Takes an end back if its backend server goes on speaking under the same start. */
  private watch(incarnation: string): void {
    const {registry, clock, timers = systemTimers} = this.options;
    const endedAt = clock.now();
    timers.delay(LAST_WORDS_MS + SPEAKS_WITHIN_MS, () => {
      const seenAt = registry.find(incarnation)?.seenAt ?? -Infinity;
      if (seenAt > endedAt + LAST_WORDS_MS) {
        // A leader that lost the lead leaves it to the next end to be judged anew.
        this.withdraw(incarnation).catch(() => undefined);
      }
    });
  }

  private async withdraw(incarnation: string): Promise<void> {
    const {runtime, events} = this.options;
    const time = Date.now();
    const before = runtime.state.suspects.version;
    await runtime.propose({type: 'withdraw-crash', time, incarnation});
    events.record({
      type: 'end-withdrawn',
      subject: 'host',
      id: incarnation,
      reason: 'it goes on speaking under the same start',
    });
    this.recordChanges(before);
  }

  /** Only the log makes sure that no two leaders grant the same place. */
  private async grantTrial(ask: Ask<'trial-ask'>): Promise<ControlMessage> {
    const {call, name, incarnation} = ask;
    const {runtime, events} = this.options;
    const {suspects} = runtime.state;
    const time = Date.now();
    if (suspects.isTrialBlocked(name, incarnation, time)) {
      return {type: 'trial-answer', call, verdict: 'busy'};
    }
    const before = suspects.version;
    const command = {type: 'begin-trial' as const, time, name, incarnation};
    const result = await runtime.propose(command);
    const verdict = result.trial ?? 'busy';
    this.recordChanges(before);
    if (verdict === 'granted') {
      events.record({
        type: 'trial-granted',
        subject: 'request',
        id: name,
        reason: 'nothing else that is suspected runs there',
        details: {incarnation},
      });
    }
    return {type: 'trial-answer', call, verdict};
  }

  private recordCrash(
    gatewayId: string,
    {incarnation, notBegun, begun}: Ask<'ends-ask'>['crashes'][number],
  ): void {
    this.options.events.record({
      type: 'backend-ended',
      subject: 'host',
      id: incarnation,
      reason: 'a gateway saw it end with requests under way',
      details: {gatewayId, notBegun: notBegun.join(' '), begun: begun.length},
    });
  }

  private recordChanges(before: number): void {
    const {suspects} = this.options.runtime.state;
    const {suspected, convicted, freed} = suspects.listChangesSince(before);
    const tell = (type: string, names: readonly string[]) =>
      names.forEach(name => this.recordStanding(type, name));
    tell('request-suspected', suspected);
    tell('request-convicted', convicted);
    tell('request-freed', freed);
  }

  private recordStanding(type: string, name: string): void {
    const {state} = this.options.runtime;
    const crashes = state.suspects.find(name)?.crashes ?? [];
    const now = state.time;
    this.options.events.record({
      type,
      subject: 'request',
      id: name,
      reason: `${crashes.length} backend servers ended under it`,
      details: {
        servers: crashes.map(({incarnation}) => incarnation).join(' '),
        agesMs: crashes.map(({time}) => now - time).join(' '),
      },
    });
  }
}
