/**
 * Versioned table of the backend servers that gateways may send requests to. Each change is
 * computed once for all gateways, and a gateway gets only the changes that it missed.
 */
import {ServerAddress} from '../common/server_address';
import {BackendView} from '../coordination/groups/backend_view';
import {EngineGroup} from '../protocol/engine_group';
import {GatewayTargetMessage} from '../protocol/gateway_target_message';
import {BackendRegistry} from './backend_registry';
import {ClosedHeads} from './closed_heads';
import {ColdServerService} from './cold_server_service';
import {RaftRuntime} from './raft_runtime';

/**
 * Changes that are kept; a gateway that missed more gets the full table. The loss of a
 * fabric domain with 37 hosts makes fewer than 100.
 */
const MAX_CHANGES = 1_024;
/** A new leader has received a registration of every live backend server after this time. */
const COMPLETE_AFTER_MS = 15_000;

/** A target with the time until which it is cold, which each gateway gets relative to the answer. */
interface TableEntry {
  readonly target: GatewayTargetMessage;
  /** May be over; -Infinity for a server that is warm. */
  readonly coldUntil: number;
}

/** A backend server serves with these properties, no longer serves, or has permanently retired. */
type TableChange =
  | {readonly kind: 'target'; readonly entry: TableEntry}
  | {readonly kind: 'closed' | 'retired'; readonly incarnation: string};

/** The full table or changes to it. */
interface TableUpdate {
  readonly targets: GatewayTargetMessage[];
  /** Incarnations that currently serve nothing. */
  readonly closed: string[];
  /** Incarnations, or names, of backend servers that take no new work. */
  readonly retired: string[];
  /** True for the full table, false for changes to it. */
  readonly isWholeTable: boolean;
}

/** Sources of the table. */
interface TargetTableOptions {
  readonly registry: BackendRegistry;
  readonly runtime: Pick<RaftRuntime, 'state' | 'raft' | 'leadingSince'>;
  /** Heads that are left out, whatever their registrations say. */
  readonly closedHeads: ClosedHeads;
  /** Which backend servers are cold; absent where none is. */
  readonly cold?: Pick<
    ColdServerService,
    'version' | 'findEnd' | 'isListening' | 'isUncertain'
  >;
  /** Part of the tag, so that versions of two leaders never look the same. */
  readonly leaderName: string;
}

/** Computes the table of one leader, and its changes. */
export class TargetTable {
  /** The current version by incarnation; null for a backend server that serves nothing. */
  private current = new Map<string, TableEntry | null>();
  private retired = new Set<string>();
  private changes: TableChange[] = [];
  /** Number of all changes so far, including those no longer kept. */
  private changeCount = 0;
  /** Identifies a sequence of changes; a new one begins with each term, and when the table becomes complete. */
  private sequenceId = '';
  private isSequenceComplete = false;
  /** Versions of the sources that the table was last computed from. */
  private sourceVersions = '';

  private constructor(private readonly options: TargetTableOptions) {}

  /**
   * Creates an empty table.
   *
   * @example
   * const table = TargetTable.create({registry, runtime, closedHeads, leaderName: 'control-a'});
   */
  static create(options: TargetTableOptions): TargetTable {
    return new TargetTable(options);
  }

  /** Identifies the current version, as an entity tag does; a gateway that has this version needs no update. */
  readTag(now: number): string {
    this.refresh(now);
    return `${this.sequenceId}/${this.changeCount}`;
  }

  /** False while a new leader may not have heard from every live backend server yet. */
  isComplete(now: number): boolean {
    return now - this.options.runtime.leadingSince > COMPLETE_AFTER_MS;
  }

  /** The changes since the version with this tag, or the full table if they aren't known. */
  listChangesSince(tag: string, now: number): TableUpdate {
    this.refresh(now);
    const at = tag.lastIndexOf('/');
    const missed = this.changeCount - Number(tag.slice(at + 1));
    const isSameSequence = tag.slice(0, at) === this.sequenceId;
    if (!isSameSequence || !(missed >= 0 && missed <= this.changes.length)) {
      return this.describeFullTable(now);
    }
    const missedChanges = missed === 0 ? [] : this.changes.slice(-missed);
    return mergeChanges(missedChanges, now);
  }

  private describeFullTable(now: number): TableUpdate {
    const entries = [...this.current];
    return {
      targets: listTargets(entries, now),
      // A complete table replaces the gateway's, so what it doesn't list is closed.
      closed: this.isSequenceComplete
        ? []
        : entries.flatMap(([name, entry]) => (entry ? [] : [name])),
      retired: [...this.retired],
      isWholeTable: true,
    };
  }

  /** Updates the table if any of its sources changed. */
  private refresh(now: number): void {
    const {registry, runtime, leaderName, closedHeads, cold} = this.options;
    const {engines, channel} = runtime.state;
    const {term} = runtime.raft;
    const isComplete = this.isComplete(now);
    const sequenceId = `${leaderName}/${term}/${isComplete ? 'all' : 'some'}`;
    const closures = closedHeads.readVersion(now);
    const coldness = `${cold?.version}/${cold?.isListening}`;
    const sourceVersions = `${registry.version}/${engines.version}/${channel.version}/${closures}/${coldness}`;
    if (
      sequenceId === this.sequenceId &&
      sourceVersions === this.sourceVersions
    ) {
      return;
    }
    if (sequenceId !== this.sequenceId) {
      this.current.clear();
      this.retired.clear();
      this.changes = [];
    }
    this.sequenceId = sequenceId;
    this.isSequenceComplete = isComplete;
    this.sourceVersions = sourceVersions;
    this.recordRetired(engines.listRetired());
    this.recordTargets(now);
  }

  private recordRetired(retired: readonly string[]): void {
    for (const incarnation of retired) {
      if (!this.retired.has(incarnation)) {
        this.appendChange({kind: 'retired', incarnation});
      }
    }
    this.retired = new Set(retired);
  }

  private recordTargets(now: number): void {
    const {registry, runtime, cold} = this.options;
    const views = registry.list();
    const groups = runtime.state.engines.list();
    const byHead = new Map(
      groups.map(group => [group.members[0].incarnation, group]),
    );
    const next = new Map<string, TableEntry | null>();
    if (!this.isSequenceComplete) {
      this.listUnregisteredHeads(views, groups)
        .filter(target => !cold?.isUncertain(target))
        .forEach(target =>
          next.set(target.incarnation, this.createEntry(target)),
        );
    }
    for (const view of views) {
      const {incarnation} = view.registration;
      const target = this.findTarget(view, byHead.get(incarnation));
      if (target && cold?.isUncertain(target)) {
        // Gateways that had it as a target keep it; a gateway that restarted
        // would not know whether it is cold.
        continue;
      }
      next.set(incarnation, target ? this.createEntry(target) : null);
    }
    for (const [incarnation, entry] of next) {
      this.recordTarget(incarnation, entry, now);
    }
    for (const [incarnation, entry] of this.current) {
      if (entry && !next.has(incarnation) && this.isSequenceComplete) {
        this.appendChange({kind: 'closed', incarnation});
      }
    }
    this.current = next;
  }

  private createEntry(target: GatewayTargetMessage): TableEntry {
    const {runtime, cold} = this.options;
    const {rules} = runtime.state.channel;
    const pool = rules?.pools.find(({name}) => name === target.pool);
    const isLimited = cold && pool?.coldRequestsPerSecond;
    const coldUntil = isLimited ? cold.findEnd(target.incarnation) : -Infinity;
    return {target, coldUntil};
  }

  private recordTarget(
    incarnation: string,
    entry: TableEntry | null,
    now: number,
  ): void {
    const before = this.current.get(incarnation);
    if (entry) {
      if (!before || !isSame(before, entry, now)) {
        this.appendChange({kind: 'target', entry});
      }
    } else if (before || (before === undefined && !this.isSequenceComplete)) {
      // Gateways may still have it as a target from the previous leader.
      this.appendChange({kind: 'closed', incarnation});
    }
  }

  private appendChange(change: TableChange): void {
    this.changes.push(change);
    this.changeCount += 1;
    if (this.changes.length > MAX_CHANGES) {
      this.changes.shift();
    }
  }

  /**
   * Targets for the heads of committed groups that a new leader hasn't heard from yet. If
   * all processes were killed, gateways start without any target and would otherwise
   * wait about one registration interval. A head that no longer serves refuses requests.
   */
  private listUnregisteredHeads(
    views: readonly BackendView[],
    groups: readonly EngineGroup[],
  ): GatewayTargetMessage[] {
    const {engines, channel} = this.options.runtime.state;
    const registered = new Set(
      views.flatMap(({registration: {address, name}}) => [address, name]),
    );
    return groups.flatMap(({pool, model, epoch, members, isEnding}) => {
      const [{incarnation, name, address: text}] = members;
      // A leader of another version may have committed one that is malformed.
      const address = ServerAddress.find(text)?.toString();
      const slots = channel.rules?.pools.find(other => other.name === pool)
        ?.engine?.slots;
      const isWhole = members.every(
        member => !engines.isRetired(member.incarnation),
      );
      return isEnding ||
        !isWhole ||
        this.options.closedHeads.has({incarnation, epoch}) ||
        slots === undefined ||
        address === undefined ||
        registered.has(address) ||
        registered.has(name ?? address)
        ? []
        : [{incarnation, name, pool, address, zone: '', slots, model, epoch}];
    });
  }

  /** The target that a registration stands for; undefined if requests may not be sent there. */
  private findTarget(
    {registration}: BackendView,
    committed: EngineGroup | undefined,
  ): GatewayTargetMessage | undefined {
    const {engines, channel} = this.options.runtime.state;
    const {incarnation, name, pool, address, zone, slots, group} = registration;
    const known = channel.rules?.pools.find(other => other.name === pool);
    if (!known || engines.isRetired(incarnation)) {
      return undefined;
    }
    const target = {incarnation, name, pool, address, zone, slots};
    if (!known.engine) {
      return target;
    }
    const isOpen =
      group?.state === 'open' &&
      group.name === committed?.name &&
      group.epoch === committed.epoch;
    // A leaving member stays until the head's requests have ended; the head itself is retired above.
    const isServing = committed?.isEnding === false;
    const epoch = committed?.epoch ?? 0;
    const isClosed = this.options.closedHeads.has({incarnation, epoch});
    return isOpen && isServing && !isClosed
      ? {...target, model: committed?.model, epoch: committed?.epoch}
      : undefined;
  }
}

/** Merges changes into one update with the newest state of each backend server. */
function mergeChanges(
  changes: readonly TableChange[],
  now: number,
): TableUpdate {
  const last = new Map<string, TableEntry | null>();
  const retired: string[] = [];
  for (const change of changes) {
    if (change.kind === 'target') {
      last.set(change.entry.target.incarnation, change.entry);
    } else if (change.kind === 'closed') {
      last.set(change.incarnation, null);
    } else {
      retired.push(change.incarnation);
    }
  }
  const entries = [...last];
  return {
    targets: listTargets(entries, now),
    closed: entries.flatMap(([name, entry]) => (entry ? [] : [name])),
    retired,
    isWholeTable: false,
  };
}

function listTargets(
  entries: ReadonlyArray<readonly [string, TableEntry | null]>,
  now: number,
): GatewayTargetMessage[] {
  return entries.flatMap(([, entry]) => {
    if (!entry) {
      return [];
    }
    const {target, coldUntil} = entry;
    return coldUntil > now ? {...target, coldForMs: coldUntil - now} : target;
  });
}

function isSame(
  {target: left, coldUntil: leftEnd}: TableEntry,
  {target: right, coldUntil: rightEnd}: TableEntry,
  now: number,
): boolean {
  return (
    left.name === right.name &&
    left.pool === right.pool &&
    left.address === right.address &&
    left.zone === right.zone &&
    left.slots === right.slots &&
    left.model === right.model &&
    left.epoch === right.epoch &&
    // Gateways follow a countdown to its end themselves.
    Math.max(leftEnd, now) === Math.max(rightEnd, now)
  );
}
