import {describe, expect, test} from 'vitest';
import {computeReadyMs} from '../../src/coordination/groups/compute_ready_ms';
import {EngineAction} from '../../src/coordination/groups/engine_action';
import {EnginePlanInput} from '../../src/coordination/groups/engine_plan_input';
import {isBelowDesired} from '../../src/coordination/groups/is_below_desired';
import {listFreeEngines} from '../../src/coordination/groups/list_free_engines';
import {ModelCounts} from '../../src/coordination/groups/model_counts';
import {createRandom} from '../support/create_random';
import {drawLosses} from '../support/draw_losses';
import {EngineFleet} from '../support/engine_fleet';
import {createSizedProfile} from '../support/engine_plan';

const SEQUENCES = 40;
const LENGTH_MS = 24_000;
/** Longest time for which hosts may wait that could form a group of a model that lacks some. */
const MAX_WAIT_MS = 2_000;

const profile = createSizedProfile(6, 3);

/** Lists the models that lack groups though the free hosts of one domain could form one. */
function listWithheld(input: EnginePlanInput): string[] {
  const free = listFreeEngines(input);
  const counts = ModelCounts.create(input);
  return input.profile.models
    .filter(model => isBelowDesired(model, input, counts))
    .filter(model => {
      const ready = free
        .filter(host => computeReadyMs(host, model) < model.loadMs)
        .map(({registration}) => registration.domain);
      return ready.some(
        domain => ready.filter(other => other === domain).length >= model.size,
      );
    })
    .map(({name}) => name);
}

/** Lists the groups that a plan forms for a model with all of its own, of hosts of one with fewer for its share. */
function listTaken(
  input: EnginePlanInput,
  actions: readonly EngineAction[],
): string[] {
  const counts = ModelCounts.create(input);
  const hosts = new Map(
    input.backends.map(view => [view.registration.incarnation, view]),
  );
  return actions.flatMap(action => {
    if (action.type !== 'set-group') {
      return [];
    }
    const {name, members, model: own} = action.group;
    const model = input.profile.models.find(other => other.name === own);
    const isFurther = model && !isBelowDesired(model, input, counts);
    if (model) {
      counts.addGroup(own);
    }
    const taken = input.profile.models.filter(
      other =>
        other !== model &&
        model &&
        isBelowDesired(other, input, counts) &&
        counts.computeHostsPerShare(other) <
          counts.computeHostsPerShare(model) &&
        members.some(({incarnation}) => {
          const host = hosts.get(incarnation);
          return host && computeReadyMs(host, other) < other.loadMs;
        }),
    );
    return isFurther && taken.length > 0 ? [name] : [];
  });
}

/** Plays losses, an outage of a domain and a change of the leader. */
function play(seed: number) {
  const random = createRandom(seed);
  const since = new Map<string, number>();
  const taken: string[] = [];
  let waitedMs = 0;
  const everyMs = 900 + 2_000 * random();
  const {log} = EngineFleet.run({
    profile,
    domains: {a: 11, b: 11, c: 11},
    demand: {big: 1.6, low: 1.85},
    events: [
      ...drawLosses({domains: ['a', 'b', 'c'], everyMs, seed}),
      {at: 3_000 + 9_000 * random(), kind: 'change-leader', durationMs: 1_300},
      {
        at: 2_000 + 14_000 * random(),
        kind: 'cut-domain',
        domain: 'b',
        durationMs: 5_000,
      },
    ],
    lengthMs: LENGTH_MS,
    random,
    onPlan: (input, actions) => {
      const withheld = listWithheld(input);
      for (const {name} of input.profile.models) {
        const from = since.get(name) ?? input.now;
        if (withheld.includes(name)) {
          since.set(name, from);
          waitedMs = Math.max(waitedMs, input.now - from);
        } else {
          since.delete(name);
        }
      }
      taken.push(...listTaken(input, actions));
    },
  });
  return {seed, waitedMs, taken, formed: log.filter(isFormation).length};
}

function isFormation(line: string): boolean {
  return line.includes('set-group');
}

describe('on drawn losses, outages, arrivals and changes of leader', () => {
  const plays = Array.from({length: SEQUENCES}, (_, at) => play(at + 1));

  test('hosts that can form a group of a model that lacks some do not stay idle', () => {
    expect(plays.filter(({waitedMs}) => waitedMs > MAX_WAIT_MS)).toEqual([]);
  });

  test('a model with all of its groups takes no hosts of one that lacks some', () => {
    expect(plays.filter(({taken}) => taken.length > 0)).toEqual([]);
    expect(Math.min(...plays.map(({formed}) => formed))).toBeGreaterThan(0);
  });
});
