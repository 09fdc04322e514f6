/** Serves registrations and deregistrations of backend servers on the leader. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {MAX_QUOTED_ADDRESS_LENGTH} from '../common/max_quoted_address_length';
import {ServerAddress} from '../common/server_address';
import {ThrottledEventLog} from '../common/throttled_event_log';
import {BackendRegistration} from '../protocol/backend_registration';
import {ControlMessage} from '../protocol/control_message';
import {MessageOf} from '../protocol/message_of';
import {BackendRegistry} from './backend_registry';
import {checkDurability} from './check_durability';
import {ColdServerService} from './cold_server_service';
import {ControlError} from './control_error';
import {ControlSettings} from './control_settings';
import {RaftRuntime} from './raft_runtime';

/** A new leader has heard from every live backend server after this many registration intervals. */
const LISTEN_INTERVALS = 2;
/** A backend server that was silent for this many intervals may have been replaced by one that tells no start time. */
const SILENT_INTERVALS = 2;
/** Used where the interval of registrations isn't configured. */
const DEFAULT_HEARTBEAT_MS = 1_000;

type Call<T extends ControlMessage['type']> = MessageOf<ControlMessage, T>;

/** Dependencies of the service. */
interface RegistrationServiceOptions {
  readonly settings: ControlSettings;
  readonly runtime: RaftRuntime;
  readonly registry: BackendRegistry;
  readonly cold: Pick<
    ColdServerService,
    'recordRegistration' | 'isLimitedPool'
  >;
  readonly clock: Clock;
  readonly events: EventRing;
  /** Ends the long polls of gateways, so that they get the newest state. */
  readonly notify: () => void;
}

/** Records registrations and retires backend servers that leave; its caller checks that this process leads. */
export class RegistrationService {
  private readonly eventLog: ThrottledEventLog;

  private constructor(private readonly options: RegistrationServiceOptions) {
    this.eventLog = ThrottledEventLog.create(options.events, options.clock);
  }

  /**
   * Creates a service.
   *
   * @example
   * const service = RegistrationService.create({settings, runtime, registry, cold, clock, events, notify});
   */
  static create(options: RegistrationServiceOptions): RegistrationService {
    return new RegistrationService(options);
  }

  /** Records a registration, unless it is invalid. */
  async register({
    call,
    registration: received,
  }: Call<'registration-ask'>): Promise<ControlMessage> {
    const {registry, cold, clock, notify} = this.options;
    const refusal = this.findRefusal(received);
    if (refusal !== undefined) {
      this.recordRefusal(received, refusal);
      return {type: 'registration-answer', call, refusal};
    }
    // Processes at the same address are recognized by its canonical text.
    const address = ServerAddress.parse(received.address).toString();
    // Where cold servers have no limit, being cold must not change any decision.
    const complete = {...received, address};
    const {coldForMs, ...withoutColdness} = complete;
    const isLimited = cold.isLimitedPool(received.pool);
    const registration =
      coldForMs === undefined || isLimited ? complete : withoutColdness;
    if (registry.record(registration, clock.now())) {
      notify();
      this.recordChange(registration);
    }
    const accepted = registry.find(registration.incarnation)?.registration;
    if (accepted === registration) {
      cold.recordRegistration(registration);
    }
    if (registration.isLeaving) {
      await this.retire(registration.incarnation, 'it says that it is leaving');
    }
    return {type: 'registration-answer', call};
  }

  /**
   * Retires the newest incarnation of a backend server that deregisters by its name. A
   * new leader may not have heard that incarnation yet, so it refuses the call until it has
   * listened for `LISTEN_INTERVALS`; after that, the name itself is retired.
   */
  async depart({call, name}: Call<'departure-ask'>): Promise<ControlMessage> {
    const {runtime, clock, settings} = this.options;
    const incarnation = this.findNewestIncarnation(name);
    const heartbeatMs = settings.pools?.heartbeatMs ?? DEFAULT_HEARTBEAT_MS;
    const leadingMs = clock.now() - runtime.leadingSince;
    const isKnown = incarnation !== undefined || this.isNamedByIncarnation();
    if (!isKnown && leadingMs < heartbeatMs * LISTEN_INTERVALS) {
      throw new ControlError(
        'this leader has not received a registration of %s yet',
        name,
      );
    }
    await this.retire(incarnation ?? name, 'it said goodbye');
    return {type: 'registration-answer', call};
  }

  /** Retires backend servers that announced in their responses to callers that they are leaving. */
  async recordLeaving({
    call,
    gatewayId,
    incarnations,
  }: Call<'leaving-ask'>): Promise<ControlMessage> {
    const {runtime, events} = this.options;
    const isActive = (incarnation: string) =>
      !runtime.state.engines.isRetired(incarnation);
    for (const incarnation of incarnations.filter(isActive)) {
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

  /** Why a registration is invalid and must not change anything; undefined if it is valid. */
  private findRefusal({
    pool,
    name,
    startedAt,
    address,
  }: BackendRegistration): string | undefined {
    const {runtime} = this.options;
    const {rules} = runtime.state.channel;
    try {
      ServerAddress.parse(address);
    } catch (error) {
      return `address: ${(error as Error).message}`;
    }
    if (rules && !rules.pools.some(known => known.name === pool)) {
      return `the rules know no pool "${pool}"`;
    }
    return startedAt === undefined && this.hasRecentStartTime(name)
      ? 'it does not tell when it started, as it did before'
      : undefined;
  }

  /**
   * True if the backend server of this name told its start time lately. Without one, a
   * registration cannot be assigned to one of its starts. Other servers prove nothing: a
   * single faulty one that tells a start time would exclude all that tell none.
   */
  private hasRecentStartTime(name: string | undefined): boolean {
    const {registry, clock, settings} = this.options;
    const known = name === undefined ? undefined : registry.findByName(name);
    const heartbeatMs = settings.pools?.heartbeatMs ?? DEFAULT_HEARTBEAT_MS;
    return (
      known?.registration.startedAt !== undefined &&
      clock.now() - known.seenAt < heartbeatMs * SILENT_INTERVALS
    );
  }

  private findNewestIncarnation(name: string): string | undefined {
    const registered = this.options.registry.findByName(name);
    const member = this.listMembers().find(known => known.name === name);
    return registered?.registration.incarnation ?? member?.incarnation;
  }

  /** True if every known backend server has no name but its incarnation, so that a name identifies a start. */
  private isNamedByIncarnation(): boolean {
    const registered = this.options.registry.list();
    const known = [
      ...registered.map(({registration}) => registration),
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
    this.eventLog.record('registration', {
      type: 'registration-refused',
      subject: 'host',
      id: incarnation,
      reason,
      details: {
        pool,
        address: address.slice(0, MAX_QUOTED_ADDRESS_LENGTH),
        sequence,
      },
    });
  }

  private recordChange(registration: BackendRegistration): void {
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

  /** An acknowledged departure must survive this leader, so it goes into the replicated log. */
  private async retire(incarnation: string, reason: string): Promise<void> {
    const {runtime} = this.options;
    if (runtime.state.engines.isRetired(incarnation)) {
      return;
    }
    checkDurability(this.options);
    const time = Date.now();
    await runtime.propose({type: 'retire-backend', time, incarnation, reason});
  }
}
