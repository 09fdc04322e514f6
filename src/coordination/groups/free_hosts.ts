/** Tracks the hosts that may join a group while a plan allocates them. */
import {Group} from '../../protocol/group';
import {computeQuarantineMs} from './compute_quarantine_ms';
import {GroupPlanInput} from './group_plan_input';
import {hostLoss} from './host_loss';
import {HostView} from './host_view';

/** What a host must match to be allocated. */
interface HostRequirement {
  readonly kind: Group['kind'];
  readonly name: string;
  readonly domain: string;
  /** Group to allocate for; hosts that it still lists as members are eligible, too. */
  readonly groupId?: string;
}

/** The free hosts that a plan has not allocated yet. */
export class FreeHosts {
  private constructor(
    private hosts: readonly HostView[],
    /** Group id of each host that a group lists, under any incarnation. */
    private readonly groupIds: ReadonlyMap<string, string>,
  ) {}

  /**
   * Collects the hosts that are healthy, not quarantined, and report no group.
   *
   * @example
   * const free = FreeHosts.create(input);
   */
  static create(input: GroupPlanInput): FreeHosts {
    const members = input.groups.flatMap(group =>
      group.members.map(member => ({groupId: group.id, ...member})),
    );
    const groupIds = new Map(
      members.map(({hostId, groupId}) => [hostId, groupId]),
    );
    const listed = new Set(
      members.map(({hostId, incarnation}) => `${hostId}/${incarnation}`),
    );
    const hosts = input.hosts
      .filter(host => isUsable(host, input.now))
      .filter(
        ({report}) => !listed.has(`${report.hostId}/${report.incarnation}`),
      )
      .sort(compareByLosses);
    return new FreeHosts(hosts, groupIds);
  }

  /** Lists the fabric domains with free hosts. */
  listDomains(): string[] {
    return [...new Set(this.hosts.map(host => host.report.domain))];
  }

  /** Counts the hosts that match. */
  countMatching(requirement: HostRequirement): number {
    return this.list(requirement).length;
  }

  /** Counts the matching hosts that already run the model or service. */
  countLoaded(requirement: HostRequirement): number {
    return this.list(requirement).filter(
      host => host.report.backend?.name === requirement.name,
    ).length;
  }

  /** Removes and returns that many matching hosts; undefined if there are too few. */
  allocate(
    requirement: HostRequirement,
    count: number,
  ): HostView[] | undefined {
    const allocated = this.list(requirement).slice(0, count);
    if (allocated.length < count) {
      return undefined;
    }
    this.hosts = this.hosts.filter(host => !allocated.includes(host));
    return allocated;
  }

  /** Hosts that already run the model or service come first, since they need no load. */
  private list(requirement: HostRequirement): HostView[] {
    const matching = this.hosts.filter(host => this.isMatch(host, requirement));
    const hasLoaded = (host: HostView) =>
      host.report.backend?.name === requirement.name;
    return [
      ...matching.filter(hasLoaded),
      ...matching.filter(host => !hasLoaded(host)),
    ];
  }

  private isMatch(host: HostView, requirement: HostRequirement): boolean {
    const {backend, domain, hostId} = host.report;
    // An engine can be ordered to load another model; a service cannot change.
    const isRightBackend =
      backend?.kind === requirement.kind &&
      (requirement.kind === 'model' || backend.name === requirement.name);
    const groupId = this.groupIds.get(hostId);
    const isAvailable =
      groupId === undefined || groupId === requirement.groupId;
    return isRightBackend && domain === requirement.domain && isAvailable;
  }
}

function isUsable(host: HostView, now: number): boolean {
  const {backend, isLeaving, assignment} = host.report;
  const isQuarantined = now - host.lostAt < computeQuarantineMs(host.losses);
  return (
    hostLoss.isAlive(host, now) &&
    backend !== null &&
    !isLeaving &&
    !host.isDrained &&
    !isQuarantined &&
    // A host may join a group only once it reports no assignment itself.
    assignment === null
  );
}

function compareByLosses(left: HostView, right: HostView): number {
  return (
    left.losses - right.losses ||
    (left.report.hostId < right.report.hostId ? -1 : 1)
  );
}
