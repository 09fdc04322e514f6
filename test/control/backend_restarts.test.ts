import {describe, expect, test} from 'vitest';
import {BackendRegistry} from '../../src/control/backend_registry';
import {HeadStopDetector} from '../../src/control/head_stop_detector';
import {createGroup, createHost} from '../support/engine_plan';

const HEARTBEAT_MS = 1_000;
const STALL_MS = 5_000;

function create() {
  const registry = BackendRegistry.create(HEARTBEAT_MS);
  /** Registers the incarnation of backend server `n` that started at this time. */
  const register = (
    startedAt: number,
    sequence: number,
    now: number,
    address = 'a:1',
  ) => {
    const {registration} = createHost(`n@${startedAt}`, {
      name: 'n',
      startedAt,
      sequence,
      address,
    });
    return registry.record(registration, now);
  };
  const list = () => registry.list().map(view => view.registration.incarnation);
  return {registry, register, list};
}

describe('a backend server that restarts under its name', () => {
  test('replaces its predecessor with the first registration received, whatever its sequence number', () => {
    const {registry, register, list} = create();
    register(1_000, 40, 0);
    registry.recordHeldModel('n@1000', 'big');

    expect(register(2_000, 9, 500)).toBe(true);

    expect(list()).toEqual(['n@2000']);
    expect(registry.find('n@2000')?.loadedModel).toBeUndefined();
  });

  test('replaces its predecessor at another address as well', () => {
    const {register, list} = create();
    register(1_000, 40, 0);
    register(2_000, 1, 500, 'b:1');
    expect(list()).toEqual(['n@2000']);
  });

  test('stays when a delayed registration of its predecessor arrives, even one of the first', () => {
    const {register, list} = create();
    register(2_000, 1, 0);
    expect(register(1_000, 2, 100)).toBe(false);
    expect(register(1_000, 41, 200)).toBe(false);
    expect(list()).toEqual(['n@2000']);
  });

  test('replaces a silent predecessor although its clock was set back', () => {
    const {register, list} = create();
    register(2_000, 40, 0);
    register(1_000, 1, 500);
    expect(list()).toEqual(['n@2000']);
    register(1_000, 2, 1_500);
    register(1_000, 3, 2_500);
    expect(list()).toEqual(['n@1000']);
  });

  test('proves that its predecessor no longer acts as the head of a group', () => {
    const {registry, register} = create();
    register(1_000, 40, 0);
    const ended = {...createGroup(['n@1000', 'b']), isEnding: true};
    const [, member] = ended.members;
    const head = {incarnation: 'n@1000', name: 'n', address: 'a:1'};
    const headStops = HeadStopDetector.create(registry, STALL_MS);
    const held = {...ended, members: [head, member]};
    expect(headStops.isHeadStopped(held, 100)).toBe(false);

    register(2_000, 1, 200, 'b:1');

    expect(headStops.isHeadStopped(held, 300)).toBe(true);
  });
});
