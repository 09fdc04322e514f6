import {expect, test} from 'vitest';
import {RequestIdentity} from '../../src/gateway/request_identity';

const request = {host: 'h', method: 'POST', path: '/x?y=1'};
const input = {request, workspace: 'w', body: Buffer.from('ask')};

function name(changes: Partial<typeof input> = {}): string {
  return RequestIdentity.create({...input, ...changes}).name;
}

test('a request is the same whenever its caller, path and body are', () => {
  expect(name()).toBe(name());
  expect(name()).toMatch(/^[0-9a-f]{32}$/);
});

test('another body, path or caller makes another request', () => {
  const others = [
    name({body: Buffer.from('ask?')}),
    name({request: {...request, path: '/x?y=2'}}),
    name({workspace: 'v'}),
    name({workspace: undefined}),
  ];
  expect(new Set([name(), ...others]).size).toBe(5);
});

test('names of one caller begin alike', () => {
  const other = name({body: Buffer.from('something else')});
  expect(other.slice(0, 8)).toBe(name().slice(0, 8));
});
