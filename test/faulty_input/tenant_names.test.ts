/** A tenant whose name no header can hold is never served, at any service. */
import {afterEach, beforeEach, expect, test} from 'vitest';
import {waitUntil} from '../support/wait_until';
import {FaultyBackend} from './faulty_backend';
import {FaultyFleet} from './faulty_fleet';

const SEED = 72;
const OK = 200;
const REFUSED = 400;
const UNKNOWN_KEY = 401;
const SOUND = {name: 'Team 1', api_keys: ['sound-key']};
const NAMES = ['a\nb', 'a\r\nx-forged: b', 'a\u0000b', '☃'];

let fleet: FaultyFleet;
let backend: FaultyBackend;

beforeEach(async () => {
  fleet = await FaultyFleet.create(SEED);
  const control = () => fleet.chooseControl();
  backend = await FaultyBackend.create({id: 'a', service: 'sound', control});
});

afterEach(async () => {
  backend.close();
  await fleet.close();
});

/** Statuses of one request at each gateway. */
function callAll(key: string): Promise<number[]> {
  const headers = {authorization: `Bearer ${key}`};
  const calls = fleet.entries.map(async entry => {
    const call = {service: 'sound', kind: 'safe', headers} as const;
    return (await fleet.call(entry, call)).status;
  });
  return Promise.all(calls);
}

test('a configuration with a tenant name that no header can hold is refused and changes nothing', async () => {
  await waitUntil('a sound tenant', async () => {
    const {status} = await fleet.configure([SOUND]);
    return status === OK;
  });
  await waitUntil('the tenant to be served', async () =>
    (await callAll('sound-key')).every(status => status === OK),
  );

  for (const name of NAMES) {
    const faulty = {name, api_keys: ['faulty-key']};
    const {status, body} = await fleet.configure([SOUND, faulty]);

    const seen = {name, status, isFieldNamed: body.includes('tenants.1.name')};
    expect.soft(seen).toEqual({name, status: REFUSED, isFieldNamed: true});
  }
  const served = fleet.entries.map(() => OK);
  const unknown = fleet.entries.map(() => UNKNOWN_KEY);
  expect.soft(await callAll('sound-key')).toEqual(served);
  expect.soft(await callAll('faulty-key')).toEqual(unknown);
  const readBack = fleet.controls.map(control => fleet.isServing(control));
  expect(await Promise.all(readBack)).toEqual([true, true, true]);
  expect(fleet.ends).toEqual([]);
});
