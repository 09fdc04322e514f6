/** What the leader has heard from backend servers lately; never replicated. */
import {BackendView} from '../coordination/groups/backend_view';
import {BackendRegistration} from '../protocol/backend_registration';
import {SecondaryIndex} from './secondary_index';

/** Silence after which a backend server is forgotten: it said no goodbye. */
const FORGET_AFTER_MS = 30_000;

/** Calls of a start that is new: its first ones may have been lost. */
const FIRST_CALLS = 3;
/** Silence of an address's holder after which another start that goes on calling has taken its place. */
const SILENT_INTERVALS = 2;
/** Where the interval of registrations is not known, in milliseconds. */
const DEFAULT_HEARTBEAT_MS = 1_000;
/** Starts that ended at an address; incarnations are never used again, so only the newest matter. */
const MAX_REPLACED = 512;

/** A registration that may be of a start that has ended. */
interface LateRegistration {
  readonly registration: BackendRegistration;
  /** The start that holds the address. */
  readonly holder: string;
}

/** The newest registration of each start of a backend server. */
export class BackendRegistry {
  private readonly views = new Map<string, BackendView>();
  /** Incarnations of the views, by address and by name: a call looks at few others. */
  private readonly byAddress = SecondaryIndex.create();
  private readonly byName = SecondaryIndex.create();
  /** Views that told when they started. */
  private startsTold = 0;
  /** Starts whose address another one has taken. */
  private readonly replaced = new Set<string>();
  /** Calls of starts that may be late ones: when each first came. */
  private readonly doubtfulSince = new Map<string, number>();
  private changes = 0;

  private constructor(
    private readonly heartbeatMs: number,
    private readonly onLate: (late: LateRegistration) => void,
  ) {}

  /**
   * Creates an empty registry.
   *
   * @param heartbeatMs interval of registrations
   * @param onLate told once of each start whose registration is passed over
   * @example
   * const registry = BackendRegistry.create(1000);
   */
  static create(
    heartbeatMs = DEFAULT_HEARTBEAT_MS,
    onLate: (late: LateRegistration) => void = () => undefined,
  ): BackendRegistry {
    return new BackendRegistry(heartbeatMs, onLate);
  }

  /** Rises with each change that gateways or the planner care about. */
  get version(): number {
    return this.changes;
  }

  /** Takes a registration unless a newer one came first; tells whether it says anything new. */
  record(registration: BackendRegistration, now: number): boolean {
    const known = this.views.get(registration.incarnation);
    if (known && known.registration.sequence > registration.sequence) {
      return false;
    }
    if (!known && this.isLate(registration, now)) {
      return false;
    }
    const isNews = !known || describe(known) !== describe({registration});
    this.index(known?.registration, registration);
    this.views.set(registration.incarnation, {
      registration,
      seenAt: now,
      firstSeenAt: known?.firstSeenAt ?? now,
      heldModel: findHeldModel(registration, known),
    });
    if (!known) {
      this.dropPredecessors(registration);
    }
    this.changes += isNews ? 1 : 0;
    return isNews;
  }

  /** Notes a group state that an engine told outside its registrations. */
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
   * Notes the model of a group that an engine was a member of. One that has
   * left no longer tells it, but joins that model at once; a new leader knows
   * only from the log.
   */
  recordHeld(incarnation: string, model: string): void {
    const known = this.views.get(incarnation);
    const isInGroup = known?.registration.group !== undefined;
    if (known && !isInGroup && known.heldModel === undefined) {
      this.views.set(incarnation, {...known, heldModel: model});
    }
  }

  remove(incarnation: string): void {
    const known = this.views.get(incarnation);
    if (known) {
      this.index(known.registration, undefined);
      this.views.delete(incarnation);
      this.changes += 1;
    }
  }

  /** Forgets those that were silent for long, and the doubts about starts that call no more. */
  expire(now: number): void {
    for (const [incarnation, since] of this.doubtfulSince) {
      if (now - since > FORGET_AFTER_MS) {
        this.doubtfulSince.delete(incarnation);
      }
    }
    for (const [incarnation, view] of this.views) {
      if (now - view.seenAt > FORGET_AFTER_MS) {
        this.remove(incarnation);
      }
    }
  }

  list(): BackendView[] {
    return [...this.views.values()];
  }

  /** The newest start of the backend server with this name. */
  findByName(name: string): BackendView | undefined {
    const [incarnation] = this.byName.list(name);
    return this.views.get(incarnation);
  }

  /** True once some backend server told when it started: then all of them do. */
  get tellsStarts(): boolean {
    return this.startsTold > 0;
  }

  find(incarnation: string): BackendView | undefined {
    return this.views.get(incarnation);
  }

  /** Forgets everything: another process may lead now. */
  clear(): void {
    this.views.clear();
    this.byAddress.clear();
    this.byName.clear();
    this.startsTold = 0;
    this.replaced.clear();
    this.doubtfulSince.clear();
    this.changes += 1;
  }

  /**
   * A call that a cut held up may come after its sender crashed and another
   * start took its address or its name. It is told from a new start by its count of
   * calls and its time of start, and from a start that lives by the holder, which
   * goes on calling.
   */
  private isLate(registration: BackendRegistration, now: number): boolean {
    const {incarnation} = registration;
    const holder = this.listHolders(registration).find(
      view => !isLaterStart(registration, view.registration),
    );
    if (!holder || !this.isDoubtful(registration, holder.registration)) {
      return false;
    }
    const since = this.doubtfulSince.get(incarnation) ?? now;
    if (!this.doubtfulSince.has(incarnation)) {
      const {incarnation: held} = holder.registration;
      this.onLate({registration, holder: held});
    }
    const hasHolderSpoken = holder.seenAt >= since;
    this.doubtfulSince.set(incarnation, hasHolderSpoken ? now : since);
    return hasHolderSpoken || now - since < this.heartbeatMs * SILENT_INTERVALS;
  }

  private isDoubtful(
    registration: BackendRegistration,
    holder: BackendRegistration,
  ): boolean {
    return (
      this.replaced.has(registration.incarnation) ||
      registration.sequence > FIRST_CALLS ||
      isLaterStart(holder, registration)
    );
  }

  /** Other starts that stand where this one would: at its address, or under its name. */
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

  private index(
    before: BackendRegistration | undefined,
    after: BackendRegistration | undefined,
  ): void {
    if (before) {
      this.byAddress.remove(before.address, before.incarnation);
      this.byName.remove(before.name, before.incarnation);
      this.startsTold -= before.startedAt ? 1 : 0;
    }
    if (after) {
      this.byAddress.add(after.address, after.incarnation);
      this.byName.add(after.name, after.incarnation);
      this.startsTold += after.startedAt ? 1 : 0;
    }
  }

  /** A new start at the same address, or under the same name, ends the one before. */
  private dropPredecessors(registration: BackendRegistration): void {
    this.replaced.delete(registration.incarnation);
    this.doubtfulSince.delete(registration.incarnation);
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

/** Two starts of one backend server: a clock may jump back between them, so only the later one is sure to be newer. */
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

/** Joining puts another model into memory; until it is told, nothing is sure. */
function findHeldModel(
  {model, group}: BackendRegistration,
  known: BackendView | undefined,
): string | undefined {
  return model ?? (group?.state === 'joining' ? undefined : known?.heldModel);
}

/** Everything but the counter of calls. */
function describe({registration}: {registration: BackendRegistration}): string {
  return JSON.stringify({...registration, sequence: 0});
}
