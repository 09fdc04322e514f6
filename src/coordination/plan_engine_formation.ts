/** Decides which free engines form new groups, and what spares keep ready. */
import {EngineProfile} from '../protocol/engine_profile';
import {BackendView} from './backend_view';
import {EngineAction} from './engine_action';
import {EnginePlanInput} from './engine_plan_input';

/** The part of a domain's hosts that is kept to take the place of lost members. */
const SPARE_SHARE = 0.25;
/** A join of a model that the engine held last; the engines' own figure. */
const HELD_JOIN_MS = 200;

type Model = EngineProfile['models'][number];

/** Hosts that could form one group. */
interface Option {
  readonly domain: string;
  readonly hosts: readonly BackendView[];
  /** Until the slowest of them is ready. */
  readonly readyMs: number;
}

/**
 * Plans new groups for the model that has the fewest hosts for its share of the
 * work, and tells spare hosts which weights to keep.
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
    const choice = chooseNext(input, free, counts);
    if (!choice) {
      break;
    }
    const {model, option} = choice;
    const members = option.hosts.map(host => host.registration.incarnation);
    const name = findFreeName(model.name, names);
    names.add(name);
    counts.set(model.name, (counts.get(model.name) ?? 0) + 1);
    free = free.filter(host => !option.hosts.includes(host));
    actions.push({
      type: 'set-group',
      group: {
        name,
        pool: input.pool,
        model: model.name,
        domain: option.domain,
        members,
        isEnding: false,
      },
      reason: `${model.name} has the fewest hosts for its share; ready in ${option.readyMs} ms`,
    });
  }
  return [...actions, ...planStaging(input, free)];
}

/** Engines that are well, belong to no committed group, and stay. */
function listFree(input: EnginePlanInput): BackendView[] {
  const taken = new Set(input.groups.flatMap(group => group.members));
  return input.backends
    .filter(({registration, seenAt}) => {
      const {incarnation, domain} = registration;
      return (
        domain !== undefined &&
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

function chooseNext(
  input: EnginePlanInput,
  free: readonly BackendView[],
  counts: ReadonlyMap<string, number>,
): {model: Model; option: Option} | undefined {
  const rank = (model: Model) =>
    ((counts.get(model.name) ?? 0) * model.size) /
    Math.max(model.share, Number.EPSILON);
  const models = [...input.profile.models].sort(
    (left, right) => rank(left) - rank(right),
  );
  for (const model of models) {
    const option = findOption(model, input, free, counts);
    if (option) {
      return {model, option};
    }
  }
  return undefined;
}

/** Below its peak a model may use spares; beyond it spares stay spares. */
function findOption(
  model: Model,
  input: EnginePlanInput,
  free: readonly BackendView[],
  counts: ReadonlyMap<string, number>,
): Option | undefined {
  const isBelowPeak =
    (counts.get(model.name) ?? 0) < (input.peaks.get(model.name) ?? 0);
  const domains = [
    ...new Set(free.map(host => host.registration.domain ?? '')),
  ];
  const options = domains.flatMap(domain => {
    const hosts = free.filter(host => host.registration.domain === domain);
    const spares = isBelowPeak ? 0 : countSpares(domain, input);
    if (hosts.length - spares < model.size) {
      return [];
    }
    const costs = hosts
      .map(host => ({host, readyMs: computeReadyMs(host, model)}))
      .sort((left, right) => left.readyMs - right.readyMs)
      .slice(0, model.size);
    const readyMs = costs[costs.length - 1].readyMs;
    const chosen = costs.map(({host}) => host);
    return [{domain, hosts: chosen, readyMs, left: hosts.length}];
  });
  return options.sort(
    (left, right) => left.readyMs - right.readyMs || right.left - left.left,
  )[0];
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

/** A spare without weights loads those of the largest group of its domain: it is the likeliest to lose a member. */
function planStaging(
  input: EnginePlanInput,
  free: readonly BackendView[],
): EngineAction[] {
  return free
    .filter(host => host.registration.stagedModels.length === 0)
    .flatMap(host => {
      const {incarnation, address, domain} = host.registration;
      const [largest] = input.groups
        .filter(group => group.domain === domain)
        .sort((left, right) => right.members.length - left.members.length);
      return largest
        ? [
            {
              type: 'order' as const,
              kind: 'stage' as const,
              incarnation,
              address,
              model: largest.model,
              isLoad: true,
              reason: `a spare for ${largest.name}`,
            },
          ]
        : [];
    });
}
