import {describe, expect, test} from 'vitest';
import {BackendRegistry} from '../../src/control/backend_registry';
import {HeadStopDetector} from '../../src/control/head_stop_detector';
import {group, host} from '../support/engine_plan';

const HEARTBEAT_MS = 1_000;
const STALL_MS = 5_000;

function create() {
  const registry = BackendRegistry.create(HEARTBEAT_MS);
  /** One call of a start of the backend server `n`, which tells when it started. */
  const call = (
    startedAt: number,
    sequence: number,
    now: number,
    address = 'a:1',
  ) => {
    const {registration} = host(`n@${startedAt}`, {
      name: 'n',
      startedAt,
      sequence,
      address,
    });
    return registry.record(registration, now);
  };
  const list = () => registry.list().map(view => view.registration.incarnation);
  return {registry, call, list};
}

describe('a backend server that starts again under its name', () => {
  test('is another one from its first call that is heard, however many came before it', () => {
    const {registry, call, list} = create();
    call(1_000, 40, 0);
    registry.recordHeldModel('n@1000', 'big');

    expect(call(2_000, 9, 500)).toBe(true);

    expect(list()).toEqual(['n@2000']);
    expect(registry.find('n@2000')?.heldModel).toBeUndefined();
  });

  test('is known at another address, too', () => {
    const {call, list} = create();
    call(1_000, 40, 0);
    call(2_000, 1, 500, 'b:1');
    expect(list()).toEqual(['n@2000']);
  });

  test('stays when a call of the start before comes late, also one of its first calls', () => {
    const {call, list} = create();
    call(2_000, 1, 0);
    expect(call(1_000, 2, 100)).toBe(false);
    expect(call(1_000, 41, 200)).toBe(false);
    expect(list()).toEqual(['n@2000']);
  });

  test('is taken although its clock was set back, once the start before is silent', () => {
    const {call, list} = create();
    call(2_000, 40, 0);
    call(1_000, 1, 500);
    expect(list()).toEqual(['n@2000']);
    call(1_000, 2, 1_500);
    call(1_000, 3, 2_500);
    expect(list()).toEqual(['n@1000']);
  });

  test('proves that it counts on nobody any more as the head that it was', () => {
    const {registry, call} = create();
    call(1_000, 40, 0);
    const ended = {...group(['n@1000', 'b']), isEnding: true};
    const [, member] = ended.members;
    const head = {incarnation: 'n@1000', name: 'n', address: 'a:1'};
    const release = HeadStopDetector.create(registry, STALL_MS);
    const held = {...ended, members: [head, member]};
    expect(release.isHeadStopped(held, 100)).toBe(false);

    call(2_000, 1, 200, 'b:1');

    expect(release.isHeadStopped(held, 300)).toBe(true);
  });
});
