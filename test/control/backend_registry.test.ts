import {describe, expect, test} from 'vitest';
import {BackendRegistry} from '../../src/control/backend_registry';
import {HeadStopDetector} from '../../src/control/head_stop_detector';
import {group, host} from '../support/engine_plan';

const HEARTBEAT_MS = 1_000;
const STALL_MS = 5_000;

function create() {
  const passedOver: string[] = [];
  const registry = BackendRegistry.create(
    HEARTBEAT_MS,
    ({registration, holder}) =>
      passedOver.push(`${registration.incarnation} for ${holder}`),
  );
  /** One call of a start at the same address as all others of a test. */
  const call = (incarnation: string, sequence: number, now: number) => {
    const {registration} = host(incarnation, {address: 'a:1', sequence});
    return registry.record(registration, now);
  };
  const list = () => registry.list().map(view => view.registration.incarnation);
  return {registry, call, list, passedOver};
}

describe('the start of a backend server that is known at an address', () => {
  test('is the newest one', () => {
    const {call, list} = create();
    call('old', 40, 0);
    call('new', 1, 500);
    expect(list()).toEqual(['new']);
  });

  test('stays when a call of the one before comes late', () => {
    const {call, list} = create();
    call('old', 40, 0);
    call('new', 1, 500);
    expect(call('old', 41, 600)).toBe(false);
    expect(call('old', 42, 601)).toBe(false);
    expect(list()).toEqual(['new']);
  });

  test('stays when the one before was never heard here', () => {
    const {call, list} = create();
    call('new', 7, 0);
    expect(call('old', 41, 100)).toBe(false);
    expect(list()).toEqual(['new']);
  });

  test('stays however often late calls come while it goes on calling', () => {
    const {call, list} = create();
    call('old', 40, 0);
    call('new', 1, 500);
    for (let at = 1; at < 10; at += 1) {
      call('old', 40 + at, at * HEARTBEAT_MS);
      call('new', 1 + at, at * HEARTBEAT_MS + 500);
    }
    expect(list()).toEqual(['new']);
  });

  test('is told once when another is passed over for it, and again when that was long ago', () => {
    const {registry, call, passedOver} = create();
    call('new', 1, 0);
    call('old', 41, 100);
    call('old', 42, 200);
    expect(passedOver).toEqual(['old for new']);
    call('new', 2, 60_000);
    registry.expire(60_000);
    call('old', 43, 60_100);
    expect(passedOver).toEqual(['old for new', 'old for new']);
  });

  test('gives way to one that calls alone, however many calls that one has made', () => {
    const {call, list} = create();
    call('late', 3, 0);
    call('living', 41, 100);
    call('living', 42, 1_100);
    expect(list()).toEqual(['late']);
    call('living', 43, 2_100);
    expect(list()).toEqual(['living']);
  });
});

describe('an engine that has left its group', () => {
  test('is known to hold the model of that group, also to a new leader', () => {
    const {registry} = create();
    registry.record(host('a', {model: undefined}).registration, 0);
    registry.recordHeldModel('a', 'big');
    registry.record(host('a', {sequence: 2}).registration, 1_000);
    expect(registry.find('a')?.heldModel).toBe('big');
  });

  test('holds nothing for sure while it joins another', () => {
    const {registry} = create();
    registry.record(host('a', {model: 'low'}).registration, 0);
    const joining = {name: 'g', epoch: 1, rank: 0, state: 'joining' as const};
    const again = host('a', {model: undefined, group: joining, sequence: 2});
    registry.record(again.registration, 1_000);
    registry.recordHeldModel('a', 'low');
    expect(registry.find('a')?.heldModel).toBeUndefined();
  });

  test('is believed where it tells its model itself', () => {
    const {registry} = create();
    registry.record(host('a', {model: 'low'}).registration, 0);
    registry.recordHeldModel('a', 'big');
    expect(registry.find('a')?.heldModel).toBe('low');
  });
});

describe('a silent head', () => {
  test('is not taken for gone because a call of the start before it comes late', () => {
    const {registry, call} = create();
    call('head', 30, 0);
    call('before', 20, 500);
    const release = HeadStopDetector.create(registry, STALL_MS);
    const ended = {...group(['head', 'b']), isEnding: true};
    const [, member] = ended.members;
    const members = [{incarnation: 'head', address: 'a:1'}, member];

    expect(release.isHeadStopped({...ended, members}, 600)).toBe(false);
  });
});
