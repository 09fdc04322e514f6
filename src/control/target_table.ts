/**
 * What gateways may send requests to, kept by changes: each change is worked out once
 * and told to every gateway, and a gateway gets what changed since it last asked.
 */
import {BackendView} from '../coordination/groups/backend_view';
import {EngineGroup} from '../protocol/engine_group';
import {GatewayTarget} from '../protocol/gateway_target';
import {BackendRegistry} from './backend_registry';
import {RaftRuntime} from './raft_runtime';

/**
 * Changes that are remembered: a gateway that missed more gets the whole table. The
 * loss of a domain of 37 hosts makes fewer than 100.
 */
const MAX_CHANGES = 1_024;
/** After this long as leader every backend server that lives has been heard. */
const COMPLETE_AFTER_MS = 15_000;

/** One backend server came to serve, serves no more, or takes no new work for good. */
type Change =
  | {readonly kind: 'target'; readonly target: GatewayTarget}
  | {readonly kind: 'closed' | 'retired'; readonly incarnation: string};

/** A table, or what changed in one. */
interface TableNews {
  readonly targets: GatewayTarget[];
  /** Backend servers that serve nothing now. */
  readonly closed: string[];
  /** Backend servers that take no new work, by incarnation or by name. */
  readonly retired: string[];
  /** False for changes. */
  readonly isWholeTable: boolean;
}

/** What the table is made from. */
interface TargetTableOptions {
  readonly registry: BackendRegistry;
  readonly runtime: Pick<RaftRuntime, 'state' | 'raft' | 'leadingSince'>;
  /** Told to gateways, so that tables of two leaders never look alike. */
  readonly leaderName: string;
}

/** The table of one leader. */
export class TargetTable {
  /** What gateways that follow hold; null for a backend server that serves nothing. */
  private known = new Map<string, GatewayTarget | null>();
  private retired = new Set<string>();
  private changes: Change[] = [];
  /** Changes that were made so far, the forgotten ones among them. */
  private count = 0;
  private era = '';
  private isEraComplete = false;
  private seen = '';

  private constructor(private readonly options: TargetTableOptions) {}

  /**
   * Creates an empty table.
   *
   * @example
   * const table = TargetTable.create({registry, runtime, leaderName: 'control-a'});
   */
  static create(options: TargetTableOptions): TargetTable {
    return new TargetTable(options);
  }

  /** Names the table as it is now; a gateway that holds this one needs nothing. */
  readTag(now: number): string {
    this.refresh(now);
    return `${this.era}/${this.count}`;
  }

  /** False while a new leader may not have heard every backend server yet. */
  isComplete(now: number): boolean {
    return now - this.options.runtime.leadingSince > COMPLETE_AFTER_MS;
  }

  /** What a gateway needs that holds the table with this tag. */
  describeSince(tag: string, now: number): TableNews {
    this.refresh(now);
    const at = tag.lastIndexOf('/');
    const missed = this.count - Number(tag.slice(at + 1));
    const isFollowing = tag.slice(0, at) === this.era;
    if (!isFollowing || !(missed >= 0 && missed <= this.changes.length)) {
      return this.describeWhole();
    }
    return joinChanges(missed === 0 ? [] : this.changes.slice(-missed));
  }

  private describeWhole(): TableNews {
    const entries = [...this.known];
    return {
      targets: entries.flatMap(([, target]) => target ?? []),
      // A table that is complete takes the place of what a gateway holds.
      closed: this.isEraComplete
        ? []
        : entries.flatMap(([name, target]) => (target ? [] : [name])),
      retired: [...this.retired],
      isWholeTable: true,
    };
  }

  /** Works out what changed since the last look; nothing, most of the time. */
  private refresh(now: number): void {
    const {registry, runtime, leaderName} = this.options;
    const {engines, channel} = runtime.state;
    const {term} = runtime.raft;
    const isComplete = this.isComplete(now);
    const era = `${leaderName}/${term}/${isComplete ? 'all' : 'some'}`;
    const seen = `${registry.version}/${engines.version}/${channel.version}`;
    if (era === this.era && seen === this.seen) {
      return;
    }
    if (era !== this.era) {
      this.known.clear();
      this.retired.clear();
      this.changes = [];
    }
    this.era = era;
    this.isEraComplete = isComplete;
    this.seen = seen;
    this.recordRetired(engines.listRetired());
    this.recordTargets();
  }

  private recordRetired(retired: readonly string[]): void {
    for (const incarnation of retired) {
      if (!this.retired.has(incarnation)) {
        this.push({kind: 'retired', incarnation});
      }
    }
    this.retired = new Set(retired);
  }

  private recordTargets(): void {
    const {registry, runtime} = this.options;
    const views = registry.list();
    const groups = runtime.state.engines.list();
    const byHead = new Map(
      groups.map(group => [group.members[0].incarnation, group]),
    );
    const present = new Map<string, GatewayTarget | null>();
    if (!this.isEraComplete) {
      this.listUnheard(views, groups).forEach(target =>
        present.set(target.incarnation, target),
      );
    }
    for (const view of views) {
      const {incarnation} = view.registration;
      present.set(
        incarnation,
        this.findTarget(view, byHead.get(incarnation)) ?? null,
      );
    }
    for (const [incarnation, target] of present) {
      this.recordTarget(incarnation, target);
    }
    for (const [incarnation, target] of this.known) {
      if (target && !present.has(incarnation) && this.isEraComplete) {
        this.push({kind: 'closed', incarnation});
      }
    }
    this.known = present;
  }

  private recordTarget(
    incarnation: string,
    target: GatewayTarget | null,
  ): void {
    const before = this.known.get(incarnation);
    if (target) {
      if (!before || !isSame(before, target)) {
        this.push({kind: 'target', target});
      }
    } else if (before || (before === undefined && !this.isEraComplete)) {
      // Gateways may still hold what the leader before told them.
      this.push({kind: 'closed', incarnation});
    }
  }

  private push(change: Change): void {
    this.changes.push(change);
    this.count += 1;
    if (this.changes.length > MAX_CHANGES) {
      this.changes.shift();
    }
  }

  /**
   * Heads of the log's groups that a new leader has not heard yet. After all
   * processes were killed gateways know nobody, and waiting for registrations
   * would cost about one interval of them; a head that serves no more refuses.
   */
  private listUnheard(
    views: readonly BackendView[],
    groups: readonly EngineGroup[],
  ): GatewayTarget[] {
    const {engines, channel} = this.options.runtime.state;
    const heard = new Set(
      views.flatMap(({registration: {address, name}}) => [address, name]),
    );
    return groups.flatMap(({pool, model, epoch, members, isEnding}) => {
      const [{incarnation, name, address}] = members;
      const slots = channel.rules?.pools.find(other => other.name === pool)
        ?.engine?.slots;
      const isWhole = members.every(
        member => !engines.isRetired(member.incarnation),
      );
      return isEnding ||
        !isWhole ||
        slots === undefined ||
        heard.has(address) ||
        heard.has(name ?? address)
        ? []
        : [{incarnation, name, pool, address, zone: '', slots, model, epoch}];
    });
  }

  /** What a gateway may send there; undefined for nothing. */
  private findTarget(
    {registration}: BackendView,
    wanted: EngineGroup | undefined,
  ): GatewayTarget | undefined {
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
      group.name === wanted?.name &&
      group.epoch === wanted.epoch;
    const isWhole =
      wanted?.isEnding === false &&
      wanted.members.every(member => !engines.isRetired(member.incarnation));
    return isOpen && isWhole
      ? {...target, model: wanted?.model, epoch: wanted?.epoch}
      : undefined;
  }
}

/** The last word on each backend server, in one piece of news. */
function joinChanges(changes: readonly Change[]): TableNews {
  const last = new Map<string, GatewayTarget | null>();
  const retired: string[] = [];
  for (const change of changes) {
    if (change.kind === 'target') {
      last.set(change.target.incarnation, change.target);
    } else if (change.kind === 'closed') {
      last.set(change.incarnation, null);
    } else {
      retired.push(change.incarnation);
    }
  }
  const entries = [...last];
  return {
    targets: entries.flatMap(([, target]) => target ?? []),
    closed: entries.flatMap(([name, target]) => (target ? [] : [name])),
    retired,
    isWholeTable: false,
  };
}

function isSame(left: GatewayTarget, right: GatewayTarget): boolean {
  return (
    left.name === right.name &&
    left.pool === right.pool &&
    left.address === right.address &&
    left.zone === right.zone &&
    left.slots === right.slots &&
    left.model === right.model &&
    left.epoch === right.epoch
  );
}
