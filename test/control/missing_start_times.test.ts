/**
 * Guards against sound backend servers that are refused because another one tells when
 * it started and they do not.
 */
import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {BackendRegistry} from '../../src/control/backend_registry';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {RegistrationService} from '../../src/control/registration_service';
import {BackendRegistration} from '../../src/protocol/backend_registration';
import {createHost} from '../support/engine_plan';

const HEARTBEAT_MS = 1_000;

function create() {
  const clock = {time: 0, now: () => clock.time};
  const registry = BackendRegistry.create(HEARTBEAT_MS);
  const events = EventRing.create();
  const service = RegistrationService.create({
    settings: {
      name: 'control-a',
      host: '127.0.0.1',
      port: 0,
      dataFolder: '',
      peers: new Map(),
      trustedKeys: [],
      leaseMs: 5_000,
    },
    runtime: {state: {channel: {}}, leadingSince: 0} as unknown as RaftRuntime,
    registry,
    cold: {recordRegistration: () => undefined, isLimitedPool: () => false},
    clock,
    events,
    notify: () => undefined,
  });
  const register = async (
    name: string,
    startedAt: number | undefined,
    changes: Partial<BackendRegistration> = {},
  ) => {
    const incarnation = startedAt === undefined ? name : `${name}@${startedAt}`;
    const {registration} = createHost(incarnation, {
      name,
      startedAt,
      address: `${name}:1`,
      ...changes,
    });
    const answer = await service.register({
      type: 'registration-ask',
      call: 1,
      registration,
    });
    return 'refusal' in answer ? answer.refusal : undefined;
  };
  const list = () => registry.list().map(view => view.registration.incarnation);
  const listRefusals = () =>
    events.listSince(0).filter(({type}) => type === 'registration-refused');
  return {clock, register, list, listRefusals};
}

test.each(['p', 'q'])(
  'one backend server of pool %s that tells its start does not exclude those that tell none',
  async pool => {
    const {register, list} = create();
    await register('odd', 1_000, {pool});

    expect(await register('a', undefined)).toBeUndefined();
    expect(await register('b', undefined)).toBeUndefined();

    expect(list()).toEqual(['odd@1000', 'a', 'b']);
  },
);

test('a backend server that has told its start is refused without, as its starts could not be told apart', async () => {
  const {register, list, listRefusals} = create();
  await register('a', 1_000);

  expect(await register('a', undefined)).toContain('when it started');

  expect(list()).toEqual(['a@1000']);
  expect(listRefusals()).toMatchObject([
    {id: 'a', details: {pool: 'p', address: 'a:1'}},
  ]);
});

test('a backend server under the id of one that is silent is taken without its start', async () => {
  const {clock, register, list} = create();
  await register('a', 1_000);
  const refusals: Array<string | undefined> = [];
  for (let sequence = 2; sequence <= 7; sequence += 1) {
    clock.time += HEARTBEAT_MS;
    refusals.push(await register('a', undefined, {sequence}));
  }

  expect(refusals.slice(1)).toEqual(refusals.slice(1).map(() => undefined));
  expect(list()).toEqual(['a']);
});
