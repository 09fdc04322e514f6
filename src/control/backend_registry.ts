/** The leader's view of backend servers, from their registrations; not replicated. */
import {BackendView} from '../coordination/groups/backend_view';
import {BackendRegistration} from '../protocol/backend_registration';
import {SecondaryIndex} from './secondary_index';

/** Silence after which a backend server that never deregistered is removed. */
const EXPIRY_MS = 30_000;

/** Up to this sequence number a process counts as new: its first registrations may have been lost. */
const MAX_INITIAL_SEQUENCE = 3;
/** After this many intervals without a registration of the known process, another one that keeps registering replaces it. */
const TAKEOVER_INTERVALS = 2;
/** Used where the interval of registrations isn't configured. */
const DEFAULT_HEARTBEAT_MS = 1_000;
/** Replaced incarnations to remember; incarnations are never reused, so only the newest ones matter. */
const MAX_REPLACED = 512;

/** A registration that may come from a process that has ended. */
interface StaleRegistration {
  readonly registration: BackendRegistration;
  /** Incarnation of the process that is known under the same address or name. */
  readonly holder: string;
}

/**
 * Keeps the newest registration of each running backend server. Each start of a server is
 * an incarnation of its own and replaces the one before it.
 */
export class BackendRegistry {
  private readonly views = new Map<string, BackendView>();
  /** Incarnations by address and by name, so that a registration is compared with few others. */
  private readonly byAddress = SecondaryIndex.create();
  private readonly byName = SecondaryIndex.create();
  /** Incarnations that another one has replaced. */
  private readonly replaced = new Set<string>();
  /** When each incarnation whose registrations may be stale was first heard, or last overruled by the known process. */
  private readonly suspectedStaleSince = new Map<string, number>();
  private changes = 0;
  /** Availability zones of all backend servers that have registered, including expired ones. */
  private readonly zones = new Set<string>();

  private constructor(
    private readonly heartbeatMs: number,
    private readonly onStale: (stale: StaleRegistration) => void,
  ) {}

  /**
   * Creates an empty registry.
   *
   * @param heartbeatMs interval of registrations
   * @param onStale called when registrations of an incarnation begin to be ignored as stale
   * @example
   * const registry = BackendRegistry.create(1000);
   */
  static create(
    heartbeatMs = DEFAULT_HEARTBEAT_MS,
    onStale: (stale: StaleRegistration) => void = () => undefined,
  ): BackendRegistry {
    return new BackendRegistry(heartbeatMs, onStale);
  }

  /** Rises with each change that gateways or the planner care about. */
  get version(): number {
    return this.changes;
  }

  /** Records a registration unless it is stale or out of order; true if anything but its sequence number changed. */
  record(registration: BackendRegistration, now: number): boolean {
    const known = this.views.get(registration.incarnation);
    if (known && known.registration.sequence > registration.sequence) {
      return false;
    }
    if (!known && this.isStale(registration, now)) {
      return false;
    }
    const hasChanged =
      !known || describeContent(known) !== describeContent({registration});
    this.updateIndexes(known?.registration, registration);
    this.zones.add(registration.zone);
    this.views.set(registration.incarnation, {
      registration,
      seenAt: now,
      firstSeenAt: known?.firstSeenAt ?? now,
      loadedModel: findLoadedModel(registration, known),
    });
    if (!known) {
      this.dropPredecessors(registration);
    }
    this.changes += hasChanged ? 1 : 0;
    return hasChanged;
  }

  /** Records a group state that an engine reported outside its registrations. */
  recordGroup(
    incarnation: string,
    group: BackendRegistration['group'],
    now: number,
  ): void {
    const known = this.views.get(incarnation);
    if (known) {
      this.record({...known.registration, group}, now);
    }
  }

  /**
   * Records the model of a group that an engine was a member of. After the engine has
   * left, its registrations no longer name the model, but it is still in memory and a group
   * of that model can be joined at once. A new leader knows it only from the replicated log.
   */
  recordLoadedModel(incarnation: string, model: string): void {
    const known = this.views.get(incarnation);
    const isInGroup = known?.registration.group !== undefined;
    if (known && !isInGroup && known.loadedModel === undefined) {
      this.views.set(incarnation, {...known, loadedModel: model});
    }
  }

  remove(incarnation: string): void {
    const known = this.views.get(incarnation);
    if (known) {
      this.updateIndexes(known.registration, undefined);
      this.views.delete(incarnation);
      this.changes += 1;
    }
  }

  /** Removes backend servers that were silent for `EXPIRY_MS`, and old suspicions of staleness. */
  expire(now: number): void {
    for (const [incarnation, since] of this.suspectedStaleSince) {
      if (now - since > EXPIRY_MS) {
        this.suspectedStaleSince.delete(incarnation);
      }
    }
    for (const [incarnation, view] of this.views) {
      if (now - view.seenAt > EXPIRY_MS) {
        this.remove(incarnation);
      }
    }
  }

  list(): BackendView[] {
    return [...this.views.values()];
  }

  /** The newest incarnation of the backend server with this name. */
  findByName(name: string): BackendView | undefined {
    const [incarnation] = this.byName.list(name);
    return this.views.get(incarnation);
  }

  /** Availability zones of all backend servers that have registered with this leader. */
  listZones(): string[] {
    return [...this.zones];
  }

  find(incarnation: string): BackendView | undefined {
    return this.views.get(incarnation);
  }

  /** Removes everything, since another process may lead now. */
  clear(): void {
    this.views.clear();
    this.zones.clear();
    this.byAddress.clear();
    this.byName.clear();
    this.replaced.clear();
    this.suspectedStaleSince.clear();
    this.changes += 1;
  }

  /**
   * A registration that a network partition delayed may arrive after its sender crashed
   * and another process took over the address or name. Its sequence number and start time
   * tell it from one of a new process. If the known process keeps registering, the
   * registration is stale; if only the other one does, that one is alive.
   */
  private isStale(registration: BackendRegistration, now: number): boolean {
    const {incarnation} = registration;
    const holder = this.listHolders(registration).find(
      view => !isLaterStart(registration, view.registration),
    );
    if (!holder || !this.isPossiblyStale(registration, holder.registration)) {
      return false;
    }
    const since = this.suspectedStaleSince.get(incarnation) ?? now;
    if (!this.suspectedStaleSince.has(incarnation)) {
      const {incarnation: holderIncarnation} = holder.registration;
      this.onStale({registration, holder: holderIncarnation});
    }
    const isHolderAlive = holder.seenAt >= since;
    this.suspectedStaleSince.set(incarnation, isHolderAlive ? now : since);
    return isHolderAlive || now - since < this.heartbeatMs * TAKEOVER_INTERVALS;
  }

  private isPossiblyStale(
    registration: BackendRegistration,
    holder: BackendRegistration,
  ): boolean {
    return (
      this.replaced.has(registration.incarnation) ||
      registration.sequence > MAX_INITIAL_SEQUENCE ||
      isLaterStart(holder, registration)
    );
  }

  /** Other incarnations with the same address or name. */
  private listHolders({
    incarnation,
    address,
    name,
  }: BackendRegistration): BackendView[] {
    const named = name === undefined ? [] : this.byName.list(name);
    const holders = new Set([...this.byAddress.list(address), ...named]);
    holders.delete(incarnation);
    return [...holders].flatMap(holder => this.views.get(holder) ?? []);
  }

  private updateIndexes(
    before: BackendRegistration | undefined,
    after: BackendRegistration | undefined,
  ): void {
    if (before) {
      this.byAddress.remove(before.address, before.incarnation);
      this.byName.remove(before.name, before.incarnation);
    }
    if (after) {
      this.byAddress.add(after.address, after.incarnation);
      this.byName.add(after.name, after.incarnation);
    }
  }

  /** A new incarnation replaces others with the same address or name. */
  private dropPredecessors(registration: BackendRegistration): void {
    this.replaced.delete(registration.incarnation);
    this.suspectedStaleSince.delete(registration.incarnation);
    for (const holder of this.listHolders(registration)) {
      this.remove(holder.registration.incarnation);
      this.replaced.add(holder.registration.incarnation);
    }
    for (const oldest of this.replaced) {
      if (this.replaced.size <= MAX_REPLACED) {
        break;
      }
      this.replaced.delete(oldest);
    }
  }
}

/** Whether the first registration is of a later start of the same server; false proves nothing, since its clock may have been set back. */
function isLaterStart(
  {name, startedAt}: BackendRegistration,
  other: BackendRegistration,
): boolean {
  return (
    name !== undefined &&
    name === other.name &&
    startedAt !== undefined &&
    startedAt > (other.startedAt ?? Infinity)
  );
}

/** The model in an engine's memory; unknown while it joins a group, which may replace the model. */
function findLoadedModel(
  {model, group}: BackendRegistration,
  known: BackendView | undefined,
): string | undefined {
  return model ?? (group?.state === 'joining' ? undefined : known?.loadedModel);
}

/** Describes a registration for comparison. Leaves out what differs in each registration: the count, and the countdown of a cold server, which `ColdServerService` follows. */
function describeContent({
  registration,
}: {
  registration: BackendRegistration;
}): string {
  return JSON.stringify({
    ...registration,
    sequence: 0,
    coldForMs: undefined,
  });
}
