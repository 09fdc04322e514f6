/**
 * Guards against responses that HTTP does not allow and that reached the caller as an
 * answer. An attempt with such a response ends like one whose connection broke.
 */
import {describe, expect, test} from 'vitest';
import {FakeBackend} from '../support/fake_backend';
import {sendOk, startFixture, writeRaw} from '../support/backend_scripts';

type Handler = Parameters<typeof FakeBackend.create>[0];

const MARKS = 'request-id: q\nseal: s\n';
const LENGTH = 'content-length: 4\n';

describe.each([
  ['status 000', `HTTP/1.1 000 OK\n${MARKS}${LENGTH}\nbody`],
  ['status 099', `HTTP/1.1 099 OK\n${MARKS}${LENGTH}\nbody`],
  ['status 600', `HTTP/1.1 600 x\n${MARKS}${LENGTH}\nbody`],
  ['status 999', `HTTP/1.1 999 x\n${MARKS}${LENGTH}\nbody`],
  [
    'a control byte in its reason',
    `HTTP/1.1 200 O\x01K\n${MARKS}${LENGTH}\nbody`,
  ],
  ['another version', `HTTP/2.0 200 OK\n${MARKS}${LENGTH}\nbody`],
  ['a blank in a name', `HTTP/1.1 200 OK\n${MARKS}se al: s\n${LENGTH}\nbody`],
  [
    'a control byte in a name',
    `HTTP/1.1 200 OK\n${MARKS}se\x01al: s\n${LENGTH}\nbody`,
  ],
  [
    'a control byte in a value',
    `HTTP/1.1 200 OK\n${MARKS}x: a\x01b\n${LENGTH}\nbody`,
  ],
  ['a folded line', `HTTP/1.1 200 OK\n${MARKS}x: a\n b\n${LENGTH}\nbody`],
  [
    'an unknown coding',
    `HTTP/1.1 200 OK\n${MARKS}transfer-encoding: gzip\n\nbody`,
  ],
  [
    'a coding before its chunks',
    `HTTP/1.1 200 OK\n${MARKS}transfer-encoding: gzip, chunked\n\n4\nbody\n0\n\n`,
  ],
  [
    'chunks in HTTP/1.0',
    `HTTP/1.0 200 OK\n${MARKS}transfer-encoding: chunked\n\n4\nbody\n0\n\n`,
  ],
  ['half a head', `HTTP/1.1 200 OK\n${MARKS}content-len`],
  ['a head without its last line', `HTTP/1.1 200 OK\n${MARKS}`],
])('a response with %s', (_name, text) => {
  const respond: Handler = arrived => {
    writeRaw(text)(arrived);
    arrived.socket.end();
  };

  test('is not passed on', async () => {
    const {fixture} = await startFixture([respond], {
      kind: 'unsafe',
      maxAttempts: 1,
    });
    expect(await fixture.send()).toMatchObject({status: 502});
  });

  test('is asked for at another backend server where its request may be repeated', async () => {
    const {fixture} = await startFixture([respond, sendOk('second')]);
    expect(await fixture.send()).toMatchObject({status: 200, body: 'second'});
  });
});

// Guards against bytes that HTTP allows and that were taken for another encoding.
test('a response with Latin-1 or UTF-8 in a header is passed on byte by byte', async () => {
  const {fixture} = await startFixture([
    ({socket}) => {
      const head = `HTTP/1.1 200 OK\n${MARKS}x-note: caf\xe9 \xe2\x98\x83\n${LENGTH}\nbody`;
      socket.write(Buffer.from(head.replaceAll('\n', '\r\n'), 'latin1'));
    },
  ]);
  const {status, headers} = await fixture.send();
  expect(status).toBe(200);
  expect(headers['x-note']).toBe('caf\xe9 \xe2\x98\x83');
});
