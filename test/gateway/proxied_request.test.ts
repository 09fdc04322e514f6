import {describe, expect, test} from 'vitest';
import {
  sendOk,
  refuseNotRun,
  resetConnection,
  startFixture,
  writeRaw,
} from '../support/backend_scripts';
import {createQueuedRequest} from '../support/create_queued_request';
import {waitUntil} from '../support/wait_until';

describe('a plain request', () => {
  test('receives the status, headers and body of its backend server unchanged', async () => {
    const {fixture, backends} = await startFixture([
      sendOk('body', 'other: 1\n'),
    ]);
    const received = await fixture.send();

    expect(received.status).toBe(200);
    expect(received.body).toBe('body');
    expect(received.headers).toMatchObject({seal: 's', other: '1'});
    expect(backends[0].requests[0].head).toMatch(/^GET \/x\?y=1 HTTP/);
    expect(backends[0].requests[0].headers.get('incarnation')).toBe('i0');
  });

  test('that is retryable is sent to another backend server after a connection reset', async () => {
    const {fixture, backends} = await startFixture([
      resetConnection,
      sendOk('second'),
    ]);
    const received = await fixture.send();

    expect(received.body).toBe('second');
    expect(backends.map(({requests}) => requests.length)).toEqual([1, 1]);
  });

  test('is not moved when its response pauses', async () => {
    const head = 'HTTP/1.1 200 OK\r\nrequest-id: q\r\nseal: s\r\n';
    const {fixture, backends} = await startFixture(
      [
        ({socket}) => {
          socket.write(`${head}content-length: 2\r\n\r\na`);
          setTimeout(() => socket.write('b'), 200);
        },
        sendOk('second'),
      ],
      {objectiveMs: 50},
    );

    expect((await fixture.send()).body).toBe('ab');
    expect(backends[1].requests).toHaveLength(0);
  });

  test('to a service without engines does not wait in the queue for slots', async () => {
    const {fixture} = await startFixture([sendOk('at once')]);
    fixture.queue.join(createQueuedRequest());
    expect((await fixture.send({model: 'm'})).body).toBe('at once');
  });

  test('that is not retryable gets 502 when it may have been executed', async () => {
    const {fixture, backends} = await startFixture(
      [resetConnection, sendOk('second')],
      {
        kind: 'unsafe',
      },
    );
    const received = await fixture.send({}, 'order');

    expect(received.status).toBe(502);
    expect(received.headers['retry-after']).toBeUndefined();
    expect(backends[1].requests).toHaveLength(0);
  });

  test('that is not retryable is sent to another backend server if it was not executed', async () => {
    const {fixture} = await startFixture([refuseNotRun, sendOk('second')], {
      kind: 'unsafe',
    });
    expect((await fixture.send({}, 'order')).body).toBe('second');
  });

  test('that no backend server executed is refused at once with a retry delay', async () => {
    const {fixture} = await startFixture([refuseNotRun, refuseNotRun]);
    const received = await fixture.send();

    expect(received.status).toBe(503);
    expect(Number(received.headers['retry-after'])).toBeGreaterThan(0);
    expect(received.headers['request-id']).toBe('q');
  });

  test('gets 502 and not 503 when an attempt before the refusal may have been executed', async () => {
    const {fixture} = await startFixture([resetConnection, refuseNotRun]);
    expect((await fixture.send()).status).toBe(502);
  });

  test('never receives the response to another request', async () => {
    const {fixture} = await startFixture([
      writeRaw(
        'HTTP/1.1 200 OK\nrequest-id: other\nseal: s\ncontent-length: 4\n\nevil',
      ),
      sendOk('mine'),
    ]);
    expect((await fixture.send()).body).toBe('mine');
  });

  test('never receives a success without the seal of its backend server', async () => {
    const {fixture} = await startFixture(
      [writeRaw('HTTP/1.1 200 OK\nrequest-id: q\ncontent-length: 4\n\nevil')],
      {kind: 'unsafe'},
    );
    expect((await fixture.send({}, 'order')).status).toBe(502);
  });

  test('is not affected by surplus bytes after the previous response', async () => {
    const {fixture} = await startFixture([sendOk('mine', '')]);
    await fixture.send();
    expect((await fixture.send()).body).toBe('mine');
    const surplus = await startFixture([
      ({socket}) => {
        const text =
          'HTTP/1.1 200 OK\nrequest-id: q\nseal: s\ncontent-length: 4\n\nmine';
        socket.write((text + text).replaceAll('\n', '\r\n'));
      },
    ]);
    expect((await surplus.fixture.send()).body).toBe('mine');
    expect((await surplus.fixture.send()).body).toBe('mine');
    expect(surplus.backends[0].requests).toHaveLength(2);
  });

  test('whose response has no length is complete only if its connection closes in order', async () => {
    const head = 'HTTP/1.1 200 OK\r\nrequest-id: q\r\nseal: s\r\n\r\nhalf';
    const ended = await startFixture([({socket}) => socket.end(head)]);
    const received = await ended.fixture.send();
    expect(received.body).toBe('half');
    // The end of the gateway closes the connection as well, so the length must mark the body.
    expect(received.headers['content-length']).toBe('4');
    const broken = await startFixture(
      [
        ({socket}) => {
          socket.write(head);
          setTimeout(() => socket.resetAndDestroy(), 20);
        },
      ],
      {kind: 'unsafe'},
    );
    expect((await broken.fixture.send({}, 'order')).status).toBe(502);
  });

  test('avoids a backend server whose address belongs to another incarnation now', async () => {
    const {fixture} = await startFixture([
      writeRaw(
        'HTTP/1.1 421 Misdirected\nrequest-id: q\ncontent-length: 0\n\n',
      ),
      sendOk('second'),
    ]);
    expect((await fixture.send()).body).toBe('second');
    expect(fixture.balancer.listAddresses().size).toBe(1);
  });

  test('that exceeds its deadline gets 504 and releases its backend server', async () => {
    const {fixture, backends} = await startFixture([() => undefined], {
      timeoutMs: 80,
      kind: 'unsafe',
    });
    expect((await fixture.send({}, 'order')).status).toBe(504);
    await waitUntil('closed', () => backends[0].openConnectionCount === 0);
  });

  test('forwards the remaining time', async () => {
    const {fixture, backends} = await startFixture([sendOk('a')]);
    await fixture.send({'wait-ms': '900'});
    const remainingMs = Number(
      backends[0].requests[0].headers.get('remaining-ms'),
    );

    expect(remainingMs).toBeGreaterThan(0);
    expect(remainingMs).toBeLessThanOrEqual(900);
  });

  test('that waits for a connection is sent elsewhere when its backend server is removed', async () => {
    const {fixture, backends} = await startFixture([
      () => undefined,
      sendOk('b'),
    ]);
    // Occupies all connections to the backend server.
    const [first, second] = fixture.targets;
    fixture.balancer.setTargets(new Map([first]));
    const busy = [1, 2, 3, 4].map(() => fixture.startRequest());
    await waitUntil('busy', () => backends[0].requests.length === 4);
    const response = fixture.send();
    await waitUntil('the fifth', () => fixture.requestCount === 5);
    fixture.balancer.setTargets(new Map([second]));

    expect((await response).body).toBe('b');
    expect(backends[0].requests).toHaveLength(4);
    busy.forEach(request => request.destroy());
  });

  test('whose caller disconnects releases its backend server', async () => {
    const {fixture, backends} = await startFixture([() => undefined]);
    const request = fixture.startRequest();
    await waitUntil('arrival', () => backends[0].requests.length === 1);
    request.destroy();
    await waitUntil('closed', () => backends[0].openConnectionCount === 0);

    expect(fixture.results[0].outcome).toBe('gone');
  });
});
