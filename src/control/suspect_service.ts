/** Serves calls about requests that are suspected of crashing backend servers, on the leader. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {SystemEvent} from '../common/system_event';
import {isPartName} from '../coordination/requests/is_part_name';
import {systemTimers} from '../common/system_timers';
import {Timers} from '../common/timers';
import {ControlMessage} from '../protocol/control_message';
import {MessageOf} from '../protocol/message_of';
import {BackendRegistry} from './backend_registry';
import {RaftRuntime} from './raft_runtime';

/**
 * Registrations may be delayed for seconds; a backend server that still registers later
 * than this after its reported crash hasn't crashed.
 */
const MAX_REGISTRATION_DELAY_MS = 5_000;
/** A live backend server registers at least once within this time. */
const REGISTERS_WITHIN_MS = 5_000;

type Call<T extends ControlMessage['type']> = MessageOf<ControlMessage, T>;

/** Dependencies of the service. */
interface SuspectServiceOptions {
  readonly runtime: Pick<RaftRuntime, 'state' | 'propose'>;
  readonly events: EventRing;
  readonly registry: Pick<BackendRegistry, 'find'>;
  readonly clock: Clock;
  readonly timers?: Timers;
}

/**
 * Commits what gateways report on crashes, and grants trial runs of suspected requests;
 * its caller checks that this process leads.
 */
export class SuspectService {
  private constructor(private readonly options: SuspectServiceOptions) {}

  /**
   * Creates a service.
   *
   * @example
   * const service = SuspectService.create({runtime, events, registry, clock});
   */
  static create(options: SuspectServiceOptions): SuspectService {
    return new SuspectService(options);
  }

  readonly handlers = {
    'ends-ask': (request: Call<'ends-ask'>) => this.recordSuspects(request),
    'trial-ask': (request: Call<'trial-ask'>) => this.grantTrial(request),
    'suspects-ask': ({call}: Call<'suspects-ask'>): ControlMessage => {
      const {suspects} = this.options.runtime.state;
      const entries = suspects.list();
      const described = entries.map(([name, suspect]) => ({name, ...suspect}));
      return {type: 'suspects-answer', call, suspects: described};
    },
  };

  private async recordSuspects(
    request: Call<'ends-ask'>,
  ): Promise<ControlMessage> {
    const {call, gatewayId, crashes, released, cleared} = request;
    const {runtime} = this.options;
    const time = Date.now();
    crashes.forEach(crash => this.recordCrash(gatewayId, crash));
    const before = runtime.state.suspects.version;
    // Each gateway reports a part that was proved harmless; the first report suffices.
    const isKnown = (name: string) => runtime.state.suspects.find(name);
    const report = {
      time,
      crashes,
      released: released.filter(isKnown),
      cleared: cleared.filter(isKnown),
    };
    const isEmpty =
      crashes.length + report.released.length + report.cleared.length === 0;
    if (isEmpty) {
      return {type: 'ends-answer', call};
    }
    const newCrashes = crashes.filter(
      ({incarnation}) => !runtime.state.suspects.hasCrashed(incarnation),
    );
    await runtime.propose({type: 'record-suspects', ...report});
    newCrashes.forEach(({incarnation}) =>
      this.watchForRegistration(incarnation),
    );
    this.recordChanges(before);
    return {type: 'ends-answer', call};
  }

  /** Withdraws a crash if the same incarnation of the backend server goes on registering. */
  private watchForRegistration(incarnation: string): void {
    const {registry, clock, timers = systemTimers} = this.options;
    const reportedAt = clock.now();
    timers.delay(MAX_REGISTRATION_DELAY_MS + REGISTERS_WITHIN_MS, () => {
      const seenAt = registry.find(incarnation)?.seenAt ?? -Infinity;
      if (seenAt > reportedAt + MAX_REGISTRATION_DELAY_MS) {
        // Fails if this process lost the lead; the crash then stays until the next one is judged.
        this.withdrawCrash(incarnation).catch(() => undefined);
      }
    });
  }

  private async withdrawCrash(incarnation: string): Promise<void> {
    const {runtime, events} = this.options;
    const time = Date.now();
    const before = runtime.state.suspects.version;
    await runtime.propose({type: 'withdraw-crash', time, incarnation});
    events.record({
      type: 'end-withdrawn',
      subject: 'host',
      id: incarnation,
      reason: 'the same incarnation goes on registering',
    });
    this.recordChanges(before);
  }

  /** The trial is committed to the log, so that no two leaders grant a trial on the same backend server. */
  private async grantTrial(ask: Call<'trial-ask'>): Promise<ControlMessage> {
    const {call, name, incarnation, request, isUncovered} = ask;
    const trial = {name, incarnation, request, isUncovered};
    const {runtime, events} = this.options;
    const {suspects} = runtime.state;
    const time = Date.now();
    if (suspects.isTrialBlocked(trial, time)) {
      return {type: 'trial-answer', call, verdict: 'busy'};
    }
    const before = suspects.version;
    const command = {type: 'begin-trial' as const, time, ...trial};
    const result = await runtime.propose(command);
    const verdict = result.trial ?? 'busy';
    this.recordChanges(before);
    if (verdict === 'granted') {
      events.record({
        type: 'trial-granted',
        subject: 'request',
        id: name,
        reason: 'no other suspected request runs there',
        details: {incarnation},
      });
    }
    return {type: 'trial-answer', call, verdict};
  }

  private recordCrash(
    gatewayId: string,
    {incarnation, notBegun, begun}: Call<'ends-ask'>['crashes'][number],
  ): void {
    this.options.events.record({
      type: 'backend-ended',
      subject: 'host',
      id: incarnation,
      reason: 'a gateway saw it end with requests running',
      details: {gatewayId, notBegun: notBegun.join(' '), begun: begun.length},
    });
  }

  private recordChanges(before: number): void {
    const {suspects} = this.options.runtime.state;
    const changes = suspects.listChangesSince(before);
    const {suspected, convicted, freed, parts = []} = changes;
    const recordAll = (type: string, names: readonly string[]) =>
      names.forEach(name => this.recordStanding(type, name));
    recordAll('request-suspected', suspected);
    recordAll('request-convicted', convicted);
    recordAll(
      'request-freed',
      freed.filter(name => !isPartName(name)),
    );
    recordAll('part-freed', freed.filter(isPartName));
    for (const {name, standing, companions, caller = ''} of parts) {
      const scope = {companions: companions.join(' '), caller};
      this.recordStanding(`part-${standing}`, name, scope);
    }
  }

  private recordStanding(
    type: string,
    name: string,
    scope: SystemEvent['details'] = {},
  ): void {
    const {state} = this.options.runtime;
    const crashes = state.suspects.find(name)?.crashes ?? [];
    const now = state.time;
    this.options.events.record({
      type,
      subject: 'request',
      id: name,
      reason: `${crashes.length} backend servers ended under it`,
      details: {
        ...scope,
        servers: crashes.map(({incarnation}) => incarnation).join(' '),
        agesMs: crashes.map(({time}) => now - time).join(' '),
      },
    });
  }
}
