/** The leader's answers to what backend servers say of themselves. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {ThrottledEventLog} from '../common/throttled_event_log';
import {BackendRegistration} from '../protocol/backend_registration';
import {ControlMessage} from '../protocol/control_message';
import {MessageOf} from '../protocol/message_of';
import {BackendRegistry} from './backend_registry';
import {checkCopies} from './check_copies';
import {ControlError} from './control_error';
import {ControlSettings} from './control_settings';
import {RaftRuntime} from './raft_runtime';

/** A new leader has heard every backend server that lives after this many registration intervals. */
const LISTEN_INTERVALS = 2;
/** Where the interval of registrations is not known, in milliseconds. */
const DEFAULT_HEARTBEAT_MS = 1_000;

type Ask<T extends ControlMessage['type']> = MessageOf<ControlMessage, T>;

/** What the desk works on. */
interface RegistrationDeskOptions {
  readonly settings: ControlSettings;
  readonly runtime: RaftRuntime;
  readonly registry: BackendRegistry;
  readonly clock: Clock;
  readonly events: EventRing;
  /** Wakes the gateways that wait for news. */
  readonly announce: () => void;
}

/** Takes registrations and departures; the caller makes sure that this process leads. */
export class RegistrationDesk {
  private readonly lines: ThrottledEventLog;

  private constructor(private readonly options: RegistrationDeskOptions) {
    this.lines = ThrottledEventLog.create(options.events, options.clock);
  }

  /**
   * Creates a desk.
   *
   * @example
   * const desk = RegistrationDesk.create({settings, runtime, registry, clock, events, announce});
   */
  static create(options: RegistrationDeskOptions): RegistrationDesk {
    return new RegistrationDesk(options);
  }

  /** Takes what a backend server says of itself, unless it cannot be one of ours. */
  async register({
    call,
    registration,
  }: Ask<'registration-ask'>): Promise<ControlMessage> {
    const {registry, clock, announce} = this.options;
    const refusal = this.findRefusal(registration);
    if (refusal !== undefined) {
      this.recordRefusal(registration, refusal);
      return {type: 'registration-answer', call, refusal};
    }
    if (registry.record(registration, clock.now())) {
      announce();
      this.recordNews(registration);
    }
    if (registration.isLeaving) {
      await this.retire(registration.incarnation, 'it says that it is leaving');
    }
    return {type: 'registration-answer', call};
  }

  /**
   * Takes the goodbye of a backend server, which names no start: it is the newest
   * one's. A new leader that cannot tell which start that is has not heard it yet.
   */
  async depart({call, name}: Ask<'departure-ask'>): Promise<ControlMessage> {
    const {runtime, clock, settings} = this.options;
    const start = this.findStart(name);
    const heartbeatMs = settings.pools?.heartbeatMs ?? DEFAULT_HEARTBEAT_MS;
    const ledMs = clock.now() - runtime.leadingSince;
    const isKnown = start !== undefined || this.hasNamesForStarts();
    if (!isKnown && ledMs < heartbeatMs * LISTEN_INTERVALS) {
      throw new ControlError('this leader has not heard %s yet', name);
    }
    await this.retire(start ?? name, 'it said goodbye');
    return {type: 'registration-answer', call};
  }

  /** Takes the goodbye that backend servers say in their answers to callers. */
  async recordLeaving({
    call,
    gatewayId,
    incarnations,
  }: Ask<'leaving-ask'>): Promise<ControlMessage> {
    const {runtime, events} = this.options;
    const isNews = (incarnation: string) =>
      !runtime.state.engines.isRetired(incarnation);
    for (const incarnation of incarnations.filter(isNews)) {
      const reason = 'it says in its answers that it leaves';
      events.record({
        type: 'backend-leaving',
        subject: 'host',
        id: incarnation,
        reason,
        details: {gatewayId},
      });
      await this.retire(incarnation, reason);
    }
    return {type: 'leaving-answer', call};
  }

  /** Why a registration names no backend server to use: nothing may be changed by it. */
  private findRefusal({
    pool,
    startedAt,
  }: BackendRegistration): string | undefined {
    const {runtime, registry} = this.options;
    const {rules} = runtime.state.channel;
    if (rules && !rules.pools.some(({name}) => name === pool)) {
      return `the rules know no pool "${pool}"`;
    }
    return startedAt === undefined && registry.tellsStarts
      ? 'it does not tell when it started, as the others do'
      : undefined;
  }

  private findStart(name: string): string | undefined {
    const heard = this.options.registry.findByName(name);
    const member = this.listMembers().find(known => known.name === name);
    return heard?.registration.incarnation ?? member?.incarnation;
  }

  /** True where every start that is known has no name but its own: then a name is a start. */
  private hasNamesForStarts(): boolean {
    const heard = this.options.registry.list();
    const known = [
      ...heard.map(({registration}) => registration),
      ...this.listMembers(),
    ];
    return (
      known.length > 0 &&
      known.every(
        ({name, incarnation}) => (name ?? incarnation) === incarnation,
      )
    );
  }

  private listMembers() {
    const {engines} = this.options.runtime.state;
    return engines.list().flatMap(({members}) => members);
  }

  private recordRefusal(
    {incarnation, pool, address, sequence}: BackendRegistration,
    reason: string,
  ): void {
    this.lines.record('registration', {
      type: 'registration-refused',
      subject: 'host',
      id: incarnation,
      reason,
      details: {pool, address, sequence},
    });
  }

  private recordNews(registration: BackendRegistration): void {
    const {incarnation, pool, address, isLeaving, model, stagedModels, group} =
      registration;
    const {sequence} = registration;
    this.options.events.record({
      type: 'backend-told',
      subject: 'host',
      id: incarnation,
      reason: isLeaving ? 'it says that it is leaving' : 'it registered',
      details: {
        pool,
        address,
        sequence,
        model: model ?? '',
        staged: stagedModels.join(' '),
        group: group?.name ?? '',
        epoch: group?.epoch ?? 0,
        state: group?.state ?? '',
      },
    });
  }

  /** An acknowledged departure must outlive this leader, so it goes into the log. */
  private async retire(incarnation: string, reason: string): Promise<void> {
    const {runtime} = this.options;
    if (runtime.state.engines.isRetired(incarnation)) {
      return;
    }
    checkCopies(this.options);
    const time = Date.now();
    await runtime.propose({type: 'retire-backend', time, incarnation, reason});
  }
}
