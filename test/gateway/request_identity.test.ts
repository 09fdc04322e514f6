import {expect, test} from 'vitest';
import {RequestIdentity} from '../../src/gateway/crashes/request_identity';

const request = {host: 'h', method: 'POST', path: '/x?y=1'};
const input = {request, workspace: 'w', body: Buffer.from('ask')};

function computeName(changes: Partial<typeof input> = {}): string {
  return RequestIdentity.create({...input, ...changes}).name;
}

test('requests with equal caller, path and body have the same name', () => {
  expect(computeName()).toBe(computeName());
  expect(computeName()).toMatch(/^[0-9a-f]{32}$/);
});

test('a different body, path or caller changes the name', () => {
  const others = [
    computeName({body: Buffer.from('ask?')}),
    computeName({request: {...request, path: '/x?y=2'}}),
    computeName({workspace: 'v'}),
    computeName({workspace: undefined}),
  ];
  expect(new Set([computeName(), ...others]).size).toBe(5);
});

test('names of one caller share a prefix', () => {
  const other = computeName({body: Buffer.from('something else')});
  expect(other.slice(0, 8)).toBe(computeName().slice(0, 8));
});
