import {expect, test} from 'vitest';
import {EnginePlanInput} from '../../src/coordination/groups/engine_plan_input';
import {computeReadyMs} from '../../src/coordination/groups/compute_ready_ms';
import {listFreeEngines} from '../../src/coordination/groups/list_free_engines';
import {createRandom} from '../support/create_random';
import {drawLosses} from '../support/draw_losses';
import {EngineFleet} from '../support/engine_fleet';
import {PROFILE} from '../support/engine_plan';

const SEQUENCES = 40;
const LENGTH_MS = 24_000;
/** Longest time for which hosts may wait that could form the only group of a model. */
const MAX_WAIT_MS = 2_000;

const [big, low] = PROFILE.models;
const profile = {
  ...PROFILE,
  models: [
    {...big, size: 6},
    {...low, size: 3},
  ],
};

/** Lists the models that have no group though the free hosts of one domain could form one. */
function listWithheld(input: EnginePlanInput): string[] {
  const free = listFreeEngines(input);
  return input.profile.models
    .filter(({name}) => !input.groups.some(group => group.model === name))
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

/** Returns the longest time for which hosts of a model without groups waited. */
function play(seed: number): number {
  const random = createRandom(seed);
  const since = new Map<string, number>();
  let longestMs = 0;
  EngineFleet.run({
    profile,
    domains: {a: 11, b: 11, c: 11},
    demand: {big: 1.6, low: 1.85},
    events: [
      ...drawLosses({
        domains: ['a', 'b', 'c'],
        everyMs: 900 + 2_000 * random(),
        seed,
      }),
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
    onPlan: input => {
      const withheld = listWithheld(input);
      for (const {name} of input.profile.models) {
        const from = since.get(name) ?? input.now;
        if (withheld.includes(name)) {
          since.set(name, from);
          longestMs = Math.max(longestMs, input.now - from);
        } else {
          since.delete(name);
        }
      }
    },
  });
  return longestMs;
}

// Guards against a model without a group while hosts with its weights stay idle, on drawn
// losses, partitions, arrivals and changes of leader.
test('hosts that can form the only group of a model do not stay idle', () => {
  const violations = Array.from({length: SEQUENCES}, (_, at) => at + 1)
    .map(seed => ({seed, waitedMs: play(seed)}))
    .filter(({waitedMs}) => waitedMs > MAX_WAIT_MS);
  expect(violations).toEqual([]);
});
