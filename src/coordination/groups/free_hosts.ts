/** Hosts that may join a group, given out one by one while a plan is made. */
import {Group} from '../../protocol/group';
import {computeProbation} from './compute_probation';
import {GroupPlanInput} from './group_plan_input';
import {hostLoss} from './host_loss';
import {HostView} from './host_view';

/** What a host is wanted for. */
interface Want {
  readonly kind: Group['kind'];
  readonly name: string;
  readonly domain: string;
  /** The group that may also take back hosts that it still names. */
  readonly groupId?: string;
}

/** Free hosts of one plan. */
export class FreeHosts {
  private constructor(
    private hosts: readonly HostView[],
    /** Group of each host that is named in one, under whatever incarnation. */
    private readonly owners: ReadonlyMap<string, string>,
  ) {}

  /**
   * Finds the hosts that are well, on no probation, and by their own word in no group.
   *
   * @example
   * const free = FreeHosts.create(input);
   */
  static create(input: GroupPlanInput): FreeHosts {
    const members = input.groups.flatMap(group =>
      group.members.map(member => ({groupId: group.id, ...member})),
    );
    const owners = new Map(
      members.map(({hostId, groupId}) => [hostId, groupId]),
    );
    const named = new Set(
      members.map(({hostId, incarnation}) => `${hostId}/${incarnation}`),
    );
    const hosts = input.hosts
      .filter(host => isUsable(host, input.now))
      .filter(
        ({report}) => !named.has(`${report.hostId}/${report.incarnation}`),
      )
      .sort(compareStanding);
    return new FreeHosts(hosts, owners);
  }

  /** Fabric domains with free hosts. */
  listDomains(): string[] {
    return [...new Set(this.hosts.map(host => host.report.domain))];
  }

  /** How many hosts fit. */
  count(want: Want): number {
    return this.list(want).length;
  }

  /** How many of those run what is wanted already. */
  countLoaded(want: Want): number {
    return this.list(want).filter(
      host => host.report.backend?.name === want.name,
    ).length;
  }

  /** Takes hosts out; undefined when there are too few. */
  take(want: Want, count: number): HostView[] | undefined {
    const taken = this.list(want).slice(0, count);
    if (taken.length < count) {
      return undefined;
    }
    this.hosts = this.hosts.filter(host => !taken.includes(host));
    return taken;
  }

  /** Those that already run what is wanted come first: they need not load it. */
  private list(want: Want): HostView[] {
    const fitting = this.hosts.filter(host => this.isFit(host, want));
    const hasLoaded = (host: HostView) =>
      host.report.backend?.name === want.name;
    return [
      ...fitting.filter(hasLoaded),
      ...fitting.filter(host => !hasLoaded(host)),
    ];
  }

  private isFit(host: HostView, want: Want): boolean {
    const {backend, domain, hostId} = host.report;
    // An engine takes orders to load another model; a service is what it is.
    const isRightBackend =
      backend?.kind === want.kind &&
      (want.kind === 'model' || backend.name === want.name);
    const owner = this.owners.get(hostId);
    const isUnowned = owner === undefined || owner === want.groupId;
    return isRightBackend && domain === want.domain && isUnowned;
  }
}

function isUsable(host: HostView, now: number): boolean {
  const {backend, isLeaving, assignment} = host.report;
  const isOnProbation = now - host.lostAt < computeProbation(host.losses);
  return (
    hostLoss.isHeard(host, now) &&
    backend !== null &&
    !isLeaving &&
    !host.isDrained &&
    !isOnProbation &&
    // Only a host that itself says it belongs to no group may join another.
    assignment === null
  );
}

function compareStanding(left: HostView, right: HostView): number {
  return (
    left.losses - right.losses ||
    (left.report.hostId < right.report.hostId ? -1 : 1)
  );
}
