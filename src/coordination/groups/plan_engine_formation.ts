/** Decides which free engines form new groups. */
import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';
import {computeReadyMs} from './compute_ready_ms';
import {computeSpares} from './compute_spares';
import {countCold} from './count_cold';
import {EngineAction} from './engine_action';
import {ModelCounts} from './model_counts';
import {EnginePlanInput} from './engine_plan_input';
import {EngineReservation} from './engine_reservation';
import {findUnusedName} from './find_unused_name';
import {countByDomainName} from './count_by_domain_name';
import {splitByDomain} from './split_by_domain';
import {listFreeEngines} from './list_free_engines';
import {isBelowDesired} from './is_below_desired';
import {isHeldByUnreachableHead} from './is_held_by_unreachable_head';
import {isMoreUrgent} from './is_more_urgent';
import {isOvertakenBy} from './is_overtaken_by';
import {isShortOfGroups} from './is_short_of_groups';
import {listReservations} from './list_reservations';
import {listUnreserved} from './list_unreserved';

/** Joins the domain names of a group that spans several. */
const DOMAIN_SEPARATOR = '+';
/**
 * Fraction of a model's desired groups below which cross-domain groups are formed. Above
 * it, the spares that they take are worth more to single-domain groups.
 */
const CROSS_DOMAIN_BELOW_FRACTION = 0.5;

type Model = EngineProfile['models'][number];

/** Hosts that could form one group. */
interface FormationOption {
  readonly model: Model;
  readonly domain: string;
  readonly hosts: readonly BackendView[];
  /** Milliseconds until the slowest host is ready. */
  readonly readyMs: number;
  /** Its members are in several domains, so it runs slower. */
  readonly isCrossDomain: boolean;
  /** At least one host has to read weights from the weight store. */
  readonly needsLoad: boolean;
  /** The model has fewer groups than desired. */
  readonly isBelowDesired: boolean;
  /** Models that lack groups for their measured demand come first, then those below the desired number. */
  readonly tier: number;
  /** Weight of the model's requests by urgency, which decides within a tier; 0 where urgency does not count. */
  readonly weight: number;
  /** Every other group of the model is in the same domain, so that one loss would take all. */
  readonly isOnlyDomain: boolean;
  /** Hosts of the model relative to its share of the load, without this group. */
  readonly hostsPerShare: number;
  /** Breaks ties between domains, the lowest first. */
  readonly domainOrder: number;
}

/** New groups, and the free hosts that are reserved for later ones. */
interface EngineFormation {
  readonly actions: readonly EngineAction[];
  readonly reservations: readonly EngineReservation[];
}

/**
 * Plans new groups: first those that need no load, then for the model with the
 * fewest hosts relative to its share of the load. Hosts that such a model can use
 * soon are reserved, so that models with less need do not take them.
 *
 * @param allowsCrossDomain whether groups over several domains may be formed
 * @example
 * const {actions, reservations} = planEngineFormation(input);
 */
export function planEngineFormation(
  input: EnginePlanInput,
  allowsCrossDomain = true,
): EngineFormation {
  const actions: EngineAction[] = [];
  let free = listFreeEngines(input);
  const counts = ModelCounts.create(input);
  const names = new Set(input.groups.map(group => group.name));
  const domainSizes = countByDomainName(input.backends);
  for (;;) {
    const reservations = listReservations(input, free, counts);
    const [option] = listOptions(
      input,
      free,
      counts,
      reservations,
      domainSizes,
      allowsCrossDomain,
    ).sort(compareOptions);
    if (!option) {
      return {actions, reservations};
    }
    const {model, hosts, domain, readyMs} = option;
    const name = findUnusedName(model.name, names);
    names.add(name);
    counts.addGroup(model.name);
    free = free.filter(host => !hosts.includes(host));
    const members = hosts.map(({registration}) => ({
      incarnation: registration.incarnation,
      ...(registration.name === undefined ? {} : {name: registration.name}),
      address: registration.address,
    }));
    const {pool} = input;
    actions.push({
      type: 'set-group',
      group: {
        name,
        pool,
        model: model.name,
        domain,
        members,
        isEnding: false,
        isReleased: false,
      },
      reason: `${model.name} lacks hosts for its share; these are ready in ${readyMs} ms`,
    });
  }
}

/**
 * Checks whether a model has the groups for its measured demand and one for the loss
 * of a domain, while a more urgent model lacks groups for its own.
 */
function isToWait(
  model: Model,
  counts: ModelCounts,
  input: EnginePlanInput,
): boolean {
  const {busyGroups = 0} = input.needs?.get(model.name) ?? {};
  return (
    counts.countGroups(model.name) > busyGroups &&
    input.profile.models.some(other =>
      isOvertakenBy(other.name, model.name, counts, input),
    )
  );
}

function compareOptions(left: FormationOption, right: FormationOption): number {
  return (
    Number(left.needsLoad) - Number(right.needsLoad) ||
    Number(left.isCrossDomain) - Number(right.isCrossDomain) ||
    right.tier - left.tier ||
    right.weight - left.weight ||
    Number(right.isBelowDesired) - Number(left.isBelowDesired) ||
    left.hostsPerShare - right.hostsPerShare ||
    // Larger models first: the remaining hosts are more likely to fit a smaller one.
    right.model.size - left.model.size ||
    Number(left.isOnlyDomain) - Number(right.isOnlyDomain) ||
    // A cold head takes few requests, for longer than a model is warmed.
    countCold(left.hosts) - countCold(right.hosts) ||
    left.readyMs - right.readyMs ||
    left.domainOrder - right.domainOrder
  );
}

function listOptions(
  input: EnginePlanInput,
  free: readonly BackendView[],
  counts: ModelCounts,
  reservations: readonly EngineReservation[],
  domainSizes: ReadonlyMap<string, number>,
  allowsCrossDomain: boolean,
): FormationOption[] {
  const isAnyBelow = input.profile.models.some(model =>
    isBelowDesired(model, input, counts),
  );
  // A new leader has not heard all hosts of a group that another model lacks.
  const isPartlyKnown =
    input.isInGracePeriod && !input.isColdStart && isAnyBelow;
  const models = input.profile.models.filter(
    model =>
      !isToWait(model, counts, input) &&
      (!isPartlyKnown || isBelowDesired(model, input, counts)),
  );
  return models.flatMap(model => {
    const hosts = listUnreserved(model, free, counts, reservations, input);
    const singleDomain = [...splitByDomain(hosts)].flatMap(
      ([domain, near]) =>
        findOption(model, domain, input, near, counts, domainSizes) ?? [],
    );
    const crossDomain = allowsCrossDomain
      ? findCrossDomainOption(model, input, hosts, counts)
      : [];
    return [...singleDomain, ...crossDomain];
  });
}

function findOption(
  model: Model,
  domain: string,
  input: EnginePlanInput,
  hosts: readonly BackendView[],
  counts: ModelCounts,
  domainSizes: ReadonlyMap<string, number>,
): FormationOption | undefined {
  const isBelow = isBelowDesired(model, input, counts);
  if (hosts.length < model.size) {
    return undefined;
  }
  const chosen = hosts
    .map(host => ({host, readyMs: computeReadyMs(host, model)}))
    .sort(
      (left, right) =>
        left.readyMs - right.readyMs ||
        countCold([left.host]) - countCold([right.host]) ||
        countStaged(left) - countStaged(right),
    )
    .slice(0, model.size);
  const {readyMs} = chosen[chosen.length - 1];
  const needsLoad = readyMs >= model.loadMs;
  const domainHosts = domainSizes.get(domain) ?? 0;
  const spares = countSpares(model, domainHosts, input, isBelow, needsLoad);
  // After the cold start, weights are loaded before a group is formed with them.
  const {isColdStart} = input;
  if (hosts.length - spares < model.size || (needsLoad && !isColdStart)) {
    return undefined;
  }
  return {
    ...describeUrgency(model, domain, input, counts),
    isCrossDomain: false,
    isBelowDesired: isBelow,
    model,
    domain,
    hosts: chosen.map(({host}) => host),
    readyMs,
    needsLoad,
    hostsPerShare: counts.computeHostsPerShare(model),
    // Best fit at the cold start, so that large domains stay usable; later the domain that keeps most spares.
    domainOrder: isColdStart ? hosts.length : -hosts.length,
  };
}

/**
 * Finds hosts of several domains that have the weights and would otherwise be idle,
 * since a slow replica is better than none.
 */
function findCrossDomainOption(
  model: Model,
  input: EnginePlanInput,
  free: readonly BackendView[],
  counts: ModelCounts,
): FormationOption[] {
  const desiredGroups = input.desiredGroups.get(model.name) ?? 0;
  const isFewGroups =
    counts.countGroups(model.name) <
    desiredGroups * CROSS_DOMAIN_BELOW_FRACTION;
  const hostsWithWeights = free.filter(
    host => computeReadyMs(host, model) < model.loadMs,
  );
  // Hosts that are about to be free can often form a single-domain group.
  const isAnyEnding = input.groups.some(
    group => group.isEnding && !isHeldByUnreachableHead(group, input),
  );
  const isDisabled = input.policy?.formsCrossDomainGroups === false;
  if (
    isDisabled ||
    !isFewGroups ||
    isAnyEnding ||
    hostsWithWeights.length < model.size
  ) {
    return [];
  }
  const hosts = hostsWithWeights.slice(0, model.size);
  const domains = new Set(hosts.map(host => host.registration.domain));
  return [
    {
      ...describeUrgency(model, '', input, counts),
      isCrossDomain: true,
      isBelowDesired: isFewGroups,
      model,
      domain: [...domains].join(DOMAIN_SEPARATOR),
      hosts,
      readyMs: Math.max(...hosts.map(host => computeReadyMs(host, model))),
      needsLoad: false,
      hostsPerShare: counts.computeHostsPerShare(model),
      domainOrder: 0,
    },
  ];
}

function describeUrgency(
  model: Model,
  domain: string,
  input: EnginePlanInput,
  counts: ModelCounts,
) {
  const {name} = model;
  const need = input.needs?.get(name);
  if (!need || input.policy?.restoresByUrgency === false) {
    return {tier: 0, weight: 0, isOnlyDomain: false};
  }
  const lacksBusyGroups = counts.countGroups(name) < need.busyGroups;
  // A group beyond the busy ones is a reserve, so more urgent models are restored before it.
  const isReserve = input.profile.models.some(
    other =>
      isMoreUrgent(other.name, name, input) &&
      isBelowDesired(other, input, counts),
  );
  const isShort = isShortOfGroups(name, counts, input) && !isReserve;
  const others = input.groups.filter(
    group => group.model === name && !group.isEnding,
  );
  return {
    tier:
      lacksBusyGroups || isShort
        ? 2
        : Number(isBelowDesired(model, input, counts)),
    weight: need.weight,
    isOnlyDomain:
      others.length > 0 && others.every(group => group.domain === domain),
  };
}

function countStaged({host}: {host: BackendView}): number {
  return host.registration.stagedModels.length;
}

/**
 * Returns how many hosts of a domain must stay spare. Without a load, repairs of a
 * model below its desired groups may use every spare, and saturated models all but
 * one; otherwise no spare may be used.
 */
function countSpares(
  model: Model,
  domainHosts: number,
  input: EnginePlanInput,
  isBelow: boolean,
  needsLoad: boolean,
): number {
  if (!needsLoad && isBelow) {
    return 0;
  }
  if (!needsLoad && input.isSaturated(model.name)) {
    return 1;
  }
  return computeSpares(domainHosts);
}
