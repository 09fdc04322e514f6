/** Decides which free engines form new groups. */
import {EngineProfile} from '../protocol/engine_profile';
import {BackendView} from './backend_view';
import {computeReadyMs} from './compute_ready_ms';
import {EngineAction} from './engine_action';
import {EnginePlanInput} from './engine_plan_input';
import {listFreeEngines} from './list_free_engines';

/** The part of a domain's hosts that is kept to take the place of lost members. */
const SPARE_SHARE = 0.25;
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
  /** Requests for the model are refused. */
  readonly isPressed: boolean;
  /** The model had more groups before. */
  readonly isBelowPeak: boolean;
  /** Hosts of the model for its share of the work, before this group. */
  readonly rank: number;
  /** Breaks ties between domains, the least first. */
  readonly slack: number;
}

/**
 * Plans new groups: those that need no load first, then for the model that has
 * the fewest hosts for its share of the work.
 *
 * @param mayBeFar groups over several domains may be formed, too
 * @example
 * const actions = planEngineFormation(input);
 */
export function planEngineFormation(
  input: EnginePlanInput,
  mayBeFar = true,
): EngineAction[] {
  const actions: EngineAction[] = [];
  let free = listFreeEngines(input);
  const counts = countGroups(input);
  const names = new Set(input.groups.map(group => group.name));
  for (;;) {
    const [option] = listOptions(input, free, counts, mayBeFar).sort(
      compareOptions,
    );
    if (!option) {
      break;
    }
    const {model, hosts, domain, readyMs} = option;
    const name = findFreeName(model.name, names);
    names.add(name);
    counts.set(model.name, (counts.get(model.name) ?? 0) + 1);
    free = free.filter(host => !hosts.includes(host));
    const members = hosts.map(({registration}) => ({
      incarnation: registration.incarnation,
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
  return actions;
}

/** A group that ends is soon formed anew from its hosts, unless a silent head holds them. */
function countGroups(input: EnginePlanInput): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {model, isEnding, members} of input.groups) {
    const isHeld = isEnding && input.isLost(members[0].incarnation);
    counts.set(model, (counts.get(model) ?? 0) + (isHeld ? 0 : 1));
  }
  return counts;
}

function compareOptions(left: Option, right: Option): number {
  return (
    Number(left.needsLoad) - Number(right.needsLoad) ||
    Number(left.isFar) - Number(right.isFar) ||
    Number(right.isPressed) - Number(left.isPressed) ||
    Number(right.isBelowPeak) - Number(left.isBelowPeak) ||
    left.rank - right.rank ||
    left.readyMs - right.readyMs ||
    left.slack - right.slack
  );
}

function listOptions(
  input: EnginePlanInput,
  free: readonly BackendView[],
  counts: ReadonlyMap<string, number>,
  mayBeFar: boolean,
): Option[] {
  const domains = new Set(free.map(host => host.registration.domain ?? ''));
  return input.profile.models.flatMap(model => {
    const near = [...domains].flatMap(
      domain => findOption(model, domain, input, free, counts) ?? [],
    );
    const far = mayBeFar ? findFarOption(model, input, free, counts) : [];
    return [...near, ...far];
  });
}

function findOption(
  model: Model,
  domain: string,
  input: EnginePlanInput,
  free: readonly BackendView[],
  counts: ReadonlyMap<string, number>,
): Option | undefined {
  const count = counts.get(model.name) ?? 0;
  const isBelowPeak = count < (input.peaks.get(model.name) ?? 0);
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
  const spares = countSpares(model, domain, input, isBelowPeak, needsLoad);
  // Later on weights are loaded before a group waits for them.
  const isFirstStart = input.peaks.size === 0;
  if (hosts.length - spares < model.size || (needsLoad && !isFirstStart)) {
    return undefined;
  }
  return {
    isFar: false,
    isPressed: input.isPressed(model.name),
    isBelowPeak,
    model,
    domain,
    hosts: chosen.map(({host}) => host),
    readyMs,
    needsLoad,
    rank: (count * model.size) / Math.max(model.share, Number.EPSILON),
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
  counts: ReadonlyMap<string, number>,
): Option[] {
  const count = counts.get(model.name) ?? 0;
  const isBelowPeak =
    count < (input.peaks.get(model.name) ?? 0) * FAR_BELOW_SHARE;
  const warm = free.filter(host => computeReadyMs(host, model) < model.loadMs);
  // Hosts of one that gives way are about to be used better.
  const isOneEnding = input.groups.some(
    group => group.isEnding && group.domain.includes(FAR_SEPARATOR),
  );
  if (!isBelowPeak || isOneEnding || warm.length < model.size) {
    return [];
  }
  const hosts = warm.slice(0, model.size);
  const domains = new Set(hosts.map(host => host.registration.domain));
  return [
    {
      isFar: true,
      isPressed: input.isPressed(model.name),
      isBelowPeak,
      model,
      domain: [...domains].join(FAR_SEPARATOR),
      hosts,
      readyMs: Math.max(...hosts.map(host => computeReadyMs(host, model))),
      needsLoad: false,
      rank: (count * model.size) / Math.max(model.share, Number.EPSILON),
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
  isBelowPeak: boolean,
  needsLoad: boolean,
): number {
  if (!needsLoad && isBelowPeak) {
    return 0;
  }
  if (!needsLoad && input.isPressed(model.name)) {
    return 1;
  }
  const hosts = input.backends.filter(
    host => host.registration.domain === domain,
  );
  return Math.floor(hosts.length * SPARE_SHARE);
}

function findFreeName(model: string, names: ReadonlySet<string>): string {
  let number = 1;
  while (names.has(`${model}-${number}`)) {
    number += 1;
  }
  return `${model}-${number}`;
}
