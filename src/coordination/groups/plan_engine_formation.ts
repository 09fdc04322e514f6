/** Decides which free engines form new groups. */
import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';
import {computeReadyMs} from './compute_ready_ms';
import {computeSpares} from './compute_spares';
import {EngineAction} from './engine_action';
import {ModelCounts} from './model_counts';
import {EnginePlanInput} from './engine_plan_input';
import {EngineReservation} from './engine_reservation';
import {listFreeEngines} from './list_free_engines';
import {isHeldByUnreachableHead} from './is_held_by_unreachable_head';
import {reserveEngines} from './reserve_engines';

/** Between the domains of a group that spans several. */
const FAR_SEPARATOR = '+';
/** Part of a model's usual groups below which slow ones help: they take spares that near ones will need. */
const FAR_BELOW_SHARE = 0.5;

type Model = EngineProfile['models'][number];

/** Hosts that could form one group. */
interface Option {
  readonly model: Model;
  readonly domain: string;
  readonly hosts: readonly BackendView[];
  /** Until the slowest of them is ready. */
  readonly readyMs: number;
  /** Its members are in several domains: it runs, but slower. */
  readonly isFar: boolean;
  /** Somebody has to read weights from the store. */
  readonly needsLoad: boolean;
  /** The model has fewer groups than it should. */
  readonly isBelowUsual: boolean;
  /** Hosts of the model for its share of the work, before this group. */
  readonly rank: number;
  /** Breaks ties between domains, the least first. */
  readonly slack: number;
}

/** New groups, and the free hosts that wait for one. */
interface EngineFormation {
  readonly actions: readonly EngineAction[];
  readonly reservations: readonly EngineReservation[];
}

/**
 * Plans new groups: those that need no load first, then for the model that has
 * the fewest hosts for its share of the work. Hosts that such a model can soon
 * use are kept from models that need them less.
 *
 * @param mayBeFar groups over several domains may be formed, too
 * @example
 * const {actions, reservations} = planEngineFormation(input);
 */
export function planEngineFormation(
  input: EnginePlanInput,
  mayBeFar = true,
): EngineFormation {
  const actions: EngineAction[] = [];
  let free = listFreeEngines(input);
  const counts = ModelCounts.create(input);
  const names = new Set(input.groups.map(group => group.name));
  for (;;) {
    const reservations = listReservations(input, free, counts);
    const [option] = listOptions(
      input,
      free,
      counts,
      reservations,
      mayBeFar,
    ).sort(compareOptions);
    if (!option) {
      return {actions, reservations};
    }
    const {model, hosts, domain, readyMs} = option;
    const name = findFreeName(model.name, names);
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

/** One for each model that lacks groups and can form none of the free hosts now. */
function listReservations(
  input: EnginePlanInput,
  free: readonly BackendView[],
  counts: ModelCounts,
): EngineReservation[] {
  if (input.policy?.reservesHosts === false) {
    return [];
  }
  return input.profile.models.flatMap(model => {
    const isLacking =
      input.isPressed(model.name) || isBelowUsual(model, input, counts);
    return (isLacking && reserveEngines(model, free, input)) || [];
  });
}

function isBelowUsual(
  {name}: Model,
  {usual}: EnginePlanInput,
  counts: ModelCounts,
): boolean {
  return counts.countGroups(name) < (usual.get(name) ?? 0);
}

/** Without those that wait for a group of a needier model. */
function listUnreserved(
  model: Model,
  free: readonly BackendView[],
  counts: ModelCounts,
  reservations: readonly EngineReservation[],
): BackendView[] {
  const rank = counts.computeHostsPerShare(model);
  const kept = new Set(
    reservations
      .filter(({model: other}) => counts.computeHostsPerShare(other) < rank)
      .flatMap(({hosts}) => hosts),
  );
  return free.filter(host => !kept.has(host));
}

function compareOptions(left: Option, right: Option): number {
  return (
    Number(left.needsLoad) - Number(right.needsLoad) ||
    Number(left.isFar) - Number(right.isFar) ||
    Number(right.isBelowUsual) - Number(left.isBelowUsual) ||
    left.rank - right.rank ||
    // What is left over more often fits the smaller model.
    right.model.size - left.model.size ||
    left.readyMs - right.readyMs ||
    left.slack - right.slack
  );
}

function listOptions(
  input: EnginePlanInput,
  free: readonly BackendView[],
  counts: ModelCounts,
  reservations: readonly EngineReservation[],
  mayBeFar: boolean,
): Option[] {
  return input.profile.models.flatMap(model => {
    const hosts = listUnreserved(model, free, counts, reservations);
    const domains = new Set(hosts.map(host => host.registration.domain ?? ''));
    const near = [...domains].flatMap(
      domain => findOption(model, domain, input, hosts, counts) ?? [],
    );
    const far = mayBeFar ? findFarOption(model, input, hosts, counts) : [];
    return [...near, ...far];
  });
}

function findOption(
  model: Model,
  domain: string,
  input: EnginePlanInput,
  free: readonly BackendView[],
  counts: ModelCounts,
): Option | undefined {
  const isLacking = isBelowUsual(model, input, counts);
  const hosts = free.filter(host => host.registration.domain === domain);
  if (hosts.length < model.size) {
    return undefined;
  }
  const chosen = hosts
    .map(host => ({host, readyMs: computeReadyMs(host, model)}))
    .sort(
      (left, right) =>
        left.readyMs - right.readyMs || countStaged(left) - countStaged(right),
    )
    .slice(0, model.size);
  const {readyMs} = chosen[chosen.length - 1];
  const needsLoad = readyMs >= model.loadMs;
  const spares = countSpares(model, domain, input, isLacking, needsLoad);
  // Later on weights are loaded before a group waits for them.
  const {isFirstStart} = input;
  if (hosts.length - spares < model.size || (needsLoad && !isFirstStart)) {
    return undefined;
  }
  return {
    isFar: false,
    isBelowUsual: isLacking,
    model,
    domain,
    hosts: chosen.map(({host}) => host),
    readyMs,
    needsLoad,
    rank: counts.computeHostsPerShare(model),
    // At first the tightest fit, so that large gaps stay usable; later the domain that keeps most spares.
    slack: isFirstStart ? hosts.length : -hosts.length,
  };
}

/**
 * Hosts of several domains that hold the weights and would otherwise serve
 * nobody: a slow replica is better than none.
 */
function findFarOption(
  model: Model,
  input: EnginePlanInput,
  free: readonly BackendView[],
  counts: ModelCounts,
): Option[] {
  const usual = input.usual.get(model.name) ?? 0;
  const isFarBelow = counts.countGroups(model.name) < usual * FAR_BELOW_SHARE;
  const warm = free.filter(host => computeReadyMs(host, model) < model.loadMs);
  // Hosts that are about to be free can often form a near one.
  const isOneLeaving = input.groups.some(
    group => group.isEnding && !isHeldByUnreachableHead(group, input),
  );
  const isLeftOut = input.policy?.formsCrossDomainGroups === false;
  if (isLeftOut || !isFarBelow || isOneLeaving || warm.length < model.size) {
    return [];
  }
  const hosts = warm.slice(0, model.size);
  const domains = new Set(hosts.map(host => host.registration.domain));
  return [
    {
      isFar: true,
      isBelowUsual: isFarBelow,
      model,
      domain: [...domains].join(FAR_SEPARATOR),
      hosts,
      readyMs: Math.max(...hosts.map(host => computeReadyMs(host, model))),
      needsLoad: false,
      rank: counts.computeHostsPerShare(model),
      slack: 0,
    },
  ];
}

function countStaged({host}: {host: BackendView}): number {
  return host.registration.stagedModels.length;
}

/** Repairs may take every spare, pressed models all but one, others none. */
function countSpares(
  model: Model,
  domain: string,
  input: EnginePlanInput,
  isLacking: boolean,
  needsLoad: boolean,
): number {
  if (!needsLoad && isLacking) {
    return 0;
  }
  if (!needsLoad && input.isPressed(model.name)) {
    return 1;
  }
  const hosts = input.backends.filter(
    host => host.registration.domain === domain,
  );
  return computeSpares(hosts.length);
}

function findFreeName(model: string, names: ReadonlySet<string>): string {
  let number = 1;
  while (names.has(`${model}-${number}`)) {
    number += 1;
  }
  return `${model}-${number}`;
}
