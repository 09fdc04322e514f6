import {describe, expect, test} from 'vitest';
import {BackendRegistry} from '../../src/control/backend_registry';
import {HeadStopDetector} from '../../src/control/head_stop_detector';
import {createGroup, createHost} from '../support/engine_plan';

const HEARTBEAT_MS = 1_000;
const STALL_MS = 5_000;

function create() {
  const ignored: string[] = [];
  const registry = BackendRegistry.create(
    HEARTBEAT_MS,
    ({registration, holder}) =>
      ignored.push(`${registration.incarnation} for ${holder}`),
  );
  /** Registers an incarnation; all have the same address. */
  const register = (incarnation: string, sequence: number, now: number) => {
    const {registration} = createHost(incarnation, {address: 'a:1', sequence});
    return registry.record(registration, now);
  };
  const list = () => registry.list().map(view => view.registration.incarnation);
  return {registry, register, list, ignored};
}

describe('of the incarnations of a backend server at one address', () => {
  test('the newest one is listed', () => {
    const {register, list} = create();
    register('old', 40, 0);
    register('new', 1, 500);
    expect(list()).toEqual(['new']);
  });

  test('the newest one stays when a delayed registration of its predecessor arrives', () => {
    const {register, list} = create();
    register('old', 40, 0);
    register('new', 1, 500);
    expect(register('old', 41, 600)).toBe(false);
    expect(register('old', 42, 601)).toBe(false);
    expect(list()).toEqual(['new']);
  });

  test('the newest one stays when its predecessor had never registered with this process', () => {
    const {register, list} = create();
    register('new', 7, 0);
    expect(register('old', 41, 100)).toBe(false);
    expect(list()).toEqual(['new']);
  });

  test('the newest one stays while it keeps registering, however many stale registrations arrive', () => {
    const {register, list} = create();
    register('old', 40, 0);
    register('new', 1, 500);
    for (let at = 1; at < 10; at += 1) {
      register('old', 40 + at, at * HEARTBEAT_MS);
      register('new', 1 + at, at * HEARTBEAT_MS + 500);
    }
    expect(list()).toEqual(['new']);
  });

  test('a stale one is reported once, and again after its suspicion has expired', () => {
    const {registry, register, ignored} = create();
    register('new', 1, 0);
    register('old', 41, 100);
    register('old', 42, 200);
    expect(ignored).toEqual(['old for new']);
    register('new', 2, 60_000);
    registry.expire(60_000);
    register('old', 43, 60_100);
    expect(ignored).toEqual(['old for new', 'old for new']);
  });

  test('the listed one is replaced by one that is the only one to register, whatever its sequence number', () => {
    const {register, list} = create();
    register('late', 3, 0);
    register('living', 41, 100);
    register('living', 42, 1_100);
    expect(list()).toEqual(['late']);
    register('living', 43, 2_100);
    expect(list()).toEqual(['living']);
  });
});

describe('an engine that has left its group', () => {
  test('still holds the model of that group, also for a new leader', () => {
    const {registry} = create();
    registry.record(createHost('a', {model: undefined}).registration, 0);
    registry.recordHeldModel('a', 'big');
    registry.record(createHost('a', {sequence: 2}).registration, 1_000);
    expect(registry.find('a')?.loadedModel).toBe('big');
  });

  test('has no known model while it joins another group', () => {
    const {registry} = create();
    registry.record(createHost('a', {model: 'low'}).registration, 0);
    const joining = {name: 'g', epoch: 1, rank: 0, state: 'joining' as const};
    const again = createHost('a', {
      model: undefined,
      group: joining,
      sequence: 2,
    });
    registry.record(again.registration, 1_000);
    registry.recordHeldModel('a', 'low');
    expect(registry.find('a')?.loadedModel).toBeUndefined();
  });

  test('has the model that it registers, whatever its group had', () => {
    const {registry} = create();
    registry.record(createHost('a', {model: 'low'}).registration, 0);
    registry.recordHeldModel('a', 'big');
    expect(registry.find('a')?.loadedModel).toBe('low');
  });
});

describe('a silent head', () => {
  test('does not count as stopped because a stale registration of its predecessor arrives', () => {
    const {registry, register} = create();
    register('head', 30, 0);
    register('before', 20, 500);
    const headStops = HeadStopDetector.create(registry, STALL_MS);
    const ended = {...createGroup(['head', 'b']), isEnding: true};
    const [, member] = ended.members;
    const members = [{incarnation: 'head', address: 'a:1'}, member];

    expect(headStops.isHeadStopped({...ended, members}, 600)).toBe(false);
  });
});
