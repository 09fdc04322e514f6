/** Guards against a caller's path that ends the connection to a host process, and every other request on it. */
import {IncomingMessage} from 'node:http';
import {expect, test} from 'vitest';
import {parseCallerRequest} from '../../src/entry/parse_caller_request';
import {Bundle} from '../../src/protocol/bundle';
import {messageCodec} from '../../src/protocol/message_codec';

const KEY_HASH = '0'.repeat(64);

function parse(url: string) {
  const bundle = Bundle.parse({
    operator: 'o',
    version: 1,
    services: [{name: 's', replicas: 1}],
    workspaces: [{name: 'w', keyHashes: [KEY_HASH]}],
  });
  const request = {url, method: 'GET', headers: {}};
  return parseCallerRequest({
    request: request as unknown as IncomingMessage,
    body: Buffer.alloc(0),
    bundle,
    workspace: bundle.workspaces[0],
    requestId: 'q',
    now: 0,
  });
}

test('a path that no host process accepts is refused', () => {
  expect(parse(`/services/s/${'x'.repeat(8_192)}`)).toMatchObject({
    status: 414,
  });
});

test.each(['/services/s', `/services/s/${'x'.repeat(8_190)}`])(
  'an accepted path fits into the message to a host process',
  url => {
    const parsed = parse(url);
    if ('status' in parsed) {
      throw new Error(parsed.detail);
    }
    const {path, method, headers, body} = parsed;
    const dispatch = {
      type: 'dispatch' as const,
      stream: 1,
      attemptId: 'a',
      groupId: 'g',
      epoch: 1,
      incarnation: 'i',
      startBy: 0,
      credit: 1,
      method,
      path,
      headers,
      body,
      isRepeatable: true,
      priority: 5,
    };
    expect(messageCodec.decode(messageCodec.encode(dispatch))).toMatchObject({
      path,
    });
  },
);
