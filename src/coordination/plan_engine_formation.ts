/** Decides which free engines form new groups, and what spares keep ready. */
import {EngineProfile} from '../protocol/engine_profile';
import {BackendView} from './backend_view';
import {EngineAction} from './engine_action';
import {EnginePlanInput} from './engine_plan_input';

/** The part of a domain's hosts that is kept to take the place of lost members. */
const SPARE_SHARE = 0.25;
/** A join of a model that the engine held last; the engines' own figure. */
const HELD_JOIN_MS = 200;
/** Between the domains of a group that spans several. */
const FAR_SEPARATOR = '+';

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
  /** Hosts of the model for its share of the work, before this group. */
  readonly rank: number;
  /** Free hosts of the domain. */
  readonly freeCount: number;
}

/**
 * Plans new groups: those that need no load first, then for the model that has
 * the fewest hosts for its share of the work; and tells spares what to keep.
 *
 * @example
 * const actions = planEngineFormation(input);
 */
export function planEngineFormation(input: EnginePlanInput): EngineAction[] {
  const actions: EngineAction[] = [];
  let free = listFree(input);
  const counts = countGroups(input);
  const names = new Set(input.groups.map(group => group.name));
  for (;;) {
    const [option] = listOptions(input, free, counts).sort(compareOptions);
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
  return [...actions, ...planStaging(input, free)];
}

/** Engines that are well, belong to no committed group, and stay. */
function listFree(input: EnginePlanInput): BackendView[] {
  const taken = new Set(
    input.groups.flatMap(group =>
      group.members.map(member => member.incarnation),
    ),
  );
  return input.backends
    .filter(({registration, seenAt}) => {
      const {incarnation, domain, group} = registration;
      const isServing = group?.state === 'open' || group?.state === 'closing';
      return (
        domain !== undefined &&
        !isServing &&
        !taken.has(incarnation) &&
        !input.isRetired(incarnation) &&
        !input.isLost(incarnation) &&
        input.now - seenAt < input.silentAfterMs
      );
    })
    .sort(compareIncarnations);
}

function compareIncarnations(left: BackendView, right: BackendView): number {
  return left.registration.incarnation < right.registration.incarnation
    ? -1
    : 1;
}

function countGroups(input: EnginePlanInput): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {model} of input.groups) {
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  return counts;
}

/** The tightest domain that fits comes first, so that large gaps stay usable. */
function compareOptions(left: Option, right: Option): number {
  return (
    Number(left.needsLoad) - Number(right.needsLoad) ||
    Number(left.isFar) - Number(right.isFar) ||
    left.rank - right.rank ||
    left.readyMs - right.readyMs ||
    left.freeCount - right.freeCount
  );
}

function listOptions(
  input: EnginePlanInput,
  free: readonly BackendView[],
  counts: ReadonlyMap<string, number>,
): Option[] {
  const domains = new Set(free.map(host => host.registration.domain ?? ''));
  return input.profile.models.flatMap(model => {
    const near = [...domains].flatMap(
      domain => findOption(model, domain, input, free, counts) ?? [],
    );
    return [...near, ...findFarOption(model, input, free, counts)];
  });
}

/**
 * Below its peak a model may use spares that have its weights. Beyond the peak,
 * and for weights that must be loaded, spares stay spares.
 */
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
  const spares = isBelowPeak && !needsLoad ? 0 : countSpares(domain, input);
  const isSettled = chosen.every(({host}) => isIdle(host, input));
  if (hosts.length - spares < model.size || (needsLoad && !isSettled)) {
    return undefined;
  }
  return {
    isFar: false,
    model,
    domain,
    hosts: chosen.map(({host}) => host),
    readyMs,
    needsLoad,
    rank: (count * model.size) / Math.max(model.share, Number.EPSILON),
    freeCount: hosts.length,
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
  const isBelowPeak = count < (input.peaks.get(model.name) ?? 0);
  const warm = free.filter(
    host => computeReadyMs(host, model) < model.loadMs && isIdle(host, input),
  );
  if (!isBelowPeak || warm.length < model.size) {
    return [];
  }
  const hosts = warm.slice(0, model.size);
  const domains = new Set(hosts.map(host => host.registration.domain));
  return [
    {
      isFar: true,
      model,
      domain: [...domains].join(FAR_SEPARATOR),
      hosts,
      readyMs: Math.max(...hosts.map(host => computeReadyMs(host, model))),
      needsLoad: false,
      rank: (count * model.size) / Math.max(model.share, Number.EPSILON),
      freeCount: warm.length,
    },
  ];
}

function countStaged({host}: {host: BackendView}): number {
  return host.registration.stagedModels.length;
}

/** At the first start nobody has weights, so there is nothing to wait for. */
function isIdle(host: BackendView, input: EnginePlanInput): boolean {
  const isFirstStart = input.peaks.size === 0;
  const freeSince = input.findFreeSince(host.registration.incarnation);
  return isFirstStart || input.now - freeSince > input.idleAfterMs;
}

function countSpares(domain: string, input: EnginePlanInput): number {
  const hosts = input.backends.filter(
    host => host.registration.domain === domain,
  );
  return Math.floor(hosts.length * SPARE_SHARE);
}

function computeReadyMs({registration}: BackendView, model: Model): number {
  if (registration.model === model.name) {
    return HELD_JOIN_MS;
  }
  return registration.stagedModels.includes(model.name)
    ? model.warmMs
    : model.loadMs;
}

function findFreeName(model: string, names: ReadonlySet<string>): string {
  let number = 1;
  while (names.has(`${model}-${number}`)) {
    number += 1;
  }
  return `${model}-${number}`;
}

/** Spares without weights load those of the models that their domain serves. */
function planStaging(
  input: EnginePlanInput,
  free: readonly BackendView[],
): EngineAction[] {
  const staged = free.flatMap(({registration}) =>
    registration.stagedModels.map(model => ({
      model,
      domain: registration.domain,
    })),
  );
  return free
    .filter(host => host.registration.stagedModels.length === 0)
    .flatMap(({registration}) => {
      const {incarnation, address, domain} = registration;
      const model = chooseSpareModel(input, domain, staged);
      if (model === undefined) {
        return [];
      }
      staged.push({model, domain});
      const reason = `a spare in ${domain}`;
      const order = {incarnation, address, model, isLoad: true, reason};
      return [{type: 'order' as const, kind: 'stage' as const, ...order}];
    });
}

/** The model with the most serving members for each spare that has its weights. */
function chooseSpareModel(
  input: EnginePlanInput,
  domain: string | undefined,
  staged: ReadonlyArray<{model: string; domain: string | undefined}>,
): string | undefined {
  const scores = input.profile.models.map(({name}) => {
    const members = input.groups
      .filter(group => group.domain === domain && group.model === name)
      .reduce((sum, group) => sum + group.members.length, 0);
    const spares = staged.filter(
      known => known.domain === domain && known.model === name,
    ).length;
    return {name, spares, score: members / (spares + 1)};
  });
  const [best] = scores.sort(
    (left, right) => right.score - left.score || left.spares - right.spares,
  );
  return best && best.score > 0 ? best.name : undefined;
}
