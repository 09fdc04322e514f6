import {afterEach, describe, expect, test} from 'vitest';
import {GatewayRules} from '../../src/protocol/gateway_rules';
import {GatewayTarget} from '../../src/protocol/gateway_target';
import {BackendStandIn} from '../support/backend_stand_in';
import {FlowFixture} from '../support/flow_fixture';
import {waitUntil} from '../support/wait_until';

type Handler = Parameters<typeof BackendStandIn.create>[0];
type Route = GatewayRules['routes'][number];

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

async function start(
  handlers: readonly Handler[],
  route: Partial<Route> = {},
  target: Partial<GatewayTarget> = {},
) {
  const backends = await Promise.all(
    handlers.map(handle => BackendStandIn.create(handle)),
  );
  const fixture = await FlowFixture.create(backends, route, target);
  closers.push(...backends.map(backend => () => backend.close()), () =>
    fixture.close(),
  );
  return {fixture, backends};
}

function write(text: string): Handler {
  return ({socket}) => socket.write(text.replaceAll('\n', '\r\n'));
}

function answer(body: string, headers = ''): Handler {
  return write(
    `HTTP/1.1 200 OK\nrequest-id: q\nseal: s\ncontent-length: ${body.length}\n${headers}\n${body}`,
  );
}

const reset: Handler = ({socket}) => socket.resetAndDestroy();
const notRun = write('HTTP/1.1 503 Full\nnot-run: 1\ncontent-length: 0\n\n');
const STREAM_HEAD =
  'HTTP/1.1 200 OK\nrequest-id: q\nseal: first\ncontent-type: text/event-stream\ntransfer-encoding: chunked\n\n';

/** One chunk of an HTTP body. */
function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Events with these numbers. */
function events(...ids: number[]): string {
  return ids.map(id => `id: ${id}\ndata: t${id}\n\n`).join('');
}

/** A stream from an event on, ended or left hanging. */
function stream(
  seal: string,
  ids: number[],
  end: 'whole' | 'reset' | 'silent',
  extra = '',
): Handler {
  return ({socket}) => {
    socket.write(STREAM_HEAD.replace('first', seal).replaceAll('\n', '\r\n'));
    socket.write(chunk(events(...ids) + extra));
    if (end === 'whole') {
      setTimeout(() => socket.write('0\r\n\r\n'), 10);
    } else if (end === 'reset') {
      setTimeout(() => socket.resetAndDestroy(), 10);
    }
  };
}

describe('a plain request', () => {
  test('gets the status, headers and body of its backend server unchanged', async () => {
    const {fixture, backends} = await start([answer('body', 'other: 1\n')]);
    const received = await fixture.ask();

    expect(received.status).toBe(200);
    expect(received.body).toBe('body');
    expect(received.headers).toMatchObject({seal: 's', other: '1'});
    expect(backends[0].requests[0].head).toMatch(/^GET \/x\?y=1 HTTP/);
    expect(backends[0].requests[0].headers.get('incarnation')).toBe('i0');
  });

  test('that may run again is sent to another when the first breaks off', async () => {
    const {fixture, backends} = await start([reset, answer('second')]);
    const received = await fixture.ask();

    expect(received.body).toBe('second');
    expect(backends.map(({requests}) => requests.length)).toEqual([1, 1]);
  });

  test('that may not run again is told 502 when it may have run', async () => {
    const {fixture, backends} = await start([reset, answer('second')], {
      kind: 'unsafe',
    });
    const received = await fixture.ask({}, 'order');

    expect(received.status).toBe(502);
    expect(received.headers['retry-after']).toBeUndefined();
    expect(backends[1].requests).toHaveLength(0);
  });

  test('that may not run again goes elsewhere after a true refusal', async () => {
    const {fixture} = await start([notRun, answer('second')], {
      kind: 'unsafe',
    });
    expect((await fixture.ask({}, 'order')).body).toBe('second');
  });

  test('that nobody ran is refused at once with a time to come back', async () => {
    const {fixture} = await start([notRun, notRun]);
    const received = await fixture.ask();

    expect(received.status).toBe(503);
    expect(Number(received.headers['retry-after'])).toBeGreaterThan(0);
    expect(received.headers['request-id']).toBe('q');
  });

  test('is not told as refused when one attempt may have run before a refusal', async () => {
    const {fixture} = await start([reset, notRun]);
    expect((await fixture.ask()).status).toBe(502);
  });

  test('never gets the answer to another request', async () => {
    const {fixture} = await start([
      write(
        'HTTP/1.1 200 OK\nrequest-id: other\nseal: s\ncontent-length: 4\n\nevil',
      ),
      answer('mine'),
    ]);
    expect((await fixture.ask()).body).toBe('mine');
  });

  test('never gets a success that its backend server does not vouch for', async () => {
    const {fixture} = await start(
      [write('HTTP/1.1 200 OK\nrequest-id: q\ncontent-length: 4\n\nevil')],
      {kind: 'unsafe'},
    );
    expect((await fixture.ask({}, 'order')).status).toBe(502);
  });

  test('is not harmed by bytes behind the answer before', async () => {
    const {fixture} = await start([answer('mine', '') as Handler]);
    await fixture.ask();
    expect((await fixture.ask()).body).toBe('mine');
    const surplus = await start([
      ({socket}) => {
        const text =
          'HTTP/1.1 200 OK\nrequest-id: q\nseal: s\ncontent-length: 4\n\nmine';
        socket.write((text + text).replaceAll('\n', '\r\n'));
      },
    ]);
    expect((await surplus.fixture.ask()).body).toBe('mine');
    expect((await surplus.fixture.ask()).body).toBe('mine');
    expect(surplus.backends[0].requests).toHaveLength(2);
  });

  test('whose answer has no length is whole only when its connection ends in order', async () => {
    const head = 'HTTP/1.1 200 OK\r\nrequest-id: q\r\nseal: s\r\n\r\nhalf';
    const ended = await start([({socket}) => socket.end(head)]);
    const received = await ended.fixture.ask();
    expect(received.body).toBe('half');
    // A crash ends a connection as well, so nothing may say that this is all.
    expect(received.headers['content-length']).toBeUndefined();
    expect(received.headers['transfer-encoding']).toBeUndefined();
    const broken = await start(
      [
        ({socket}) => {
          socket.write(head);
          setTimeout(() => socket.resetAndDestroy(), 20);
        },
      ],
      {kind: 'unsafe'},
    );
    expect((await broken.fixture.ask({}, 'order')).status).toBe(502);
  });

  test('passes over a backend server whose address is another start now', async () => {
    const {fixture} = await start([
      write('HTTP/1.1 421 Misdirected\ncontent-length: 0\n\n'),
      answer('second'),
    ]);
    expect((await fixture.ask()).body).toBe('second');
    expect(fixture.board.listAddresses().size).toBe(1);
  });

  test('that is too late gets its final answer and frees its backend server', async () => {
    const {fixture, backends} = await start([() => undefined], {
      timeoutMs: 80,
      kind: 'unsafe',
    });
    expect((await fixture.ask({}, 'order')).status).toBe(504);
    await waitUntil('closed', () => backends[0].openConnections === 0);
  });

  test('hands on the time that is left', async () => {
    const {fixture, backends} = await start([answer('a')]);
    await fixture.ask({'wait-ms': '900'});
    const left = Number(backends[0].requests[0].headers.get('remaining-ms'));

    expect(left).toBeGreaterThan(0);
    expect(left).toBeLessThanOrEqual(900);
  });

  test('whose caller leaves frees its backend server', async () => {
    const {fixture, backends} = await start([() => undefined]);
    const request = fixture.open();
    await waitUntil('arrival', () => backends[0].requests.length === 1);
    request.destroy();
    await waitUntil('closed', () => backends[0].openConnections === 0);

    expect(fixture.results[0].outcome).toBe('gone');
  });
});

describe('a stream', () => {
  const route = {kind: 'stream', isResumable: true} as const;
  const model = {model: 'm'};

  test('is passed on event by event under the head of its backend server', async () => {
    const {fixture} = await start(
      [stream('a', [1, 2, 3], 'whole')],
      route,
      model,
    );
    const received = await fixture.ask();

    expect(received.body).toBe(events(1, 2, 3));
    expect(received.headers.seal).toBe('a');
    expect(received.isWhole).toBe(true);
  });

  test('goes on at another backend server behind the last whole event', async () => {
    const {fixture, backends} = await start(
      [stream('a', [1, 2], 'reset', 'id: 3\nda'), stream('b', [3, 4], 'whole')],
      route,
      model,
    );
    const received = await fixture.ask();

    expect(received.body).toBe(events(1, 2, 3, 4));
    expect(received.headers.seal).toBe('a');
    expect(backends[1].requests[0].headers.get('last-event-id')).toBe('2');
  });

  test('that stops in the middle goes on elsewhere, and the silent one is let go', async () => {
    const {fixture, backends} = await start(
      [stream('a', [1], 'silent'), stream('b', [2], 'whole')],
      route,
      model,
    );
    const received = await fixture.ask();

    expect(received.body).toBe(events(1, 2));
    await waitUntil('closed', () => backends[0].openConnections === 0);
    expect(fixture.board.listNews().stalled).toEqual(['i0']);
  });

  test('that may not be resumed is broken off, never ended as whole', async () => {
    const {fixture} = await start(
      [stream('a', [1], 'reset'), stream('b', [2], 'whole')],
      {...route, isResumable: false},
      model,
    );
    const received = await fixture.ask();

    expect(received.isWhole).toBe(false);
    expect(received.body).toBe(events(1));
  });

  test('that ends within an event is not whole', async () => {
    const {fixture} = await start(
      [stream('a', [1], 'whole', 'id: 2\nda')],
      {...route, isResumable: false},
      model,
    );
    const received = await fixture.ask();

    expect(received.isWhole).toBe(false);
    expect(received.body).toBe(events(1));
  });

  test('beyond the places of every engine is refused early', async () => {
    const {fixture, backends} = await start(
      [stream('a', [1], 'whole')],
      route,
      model,
    );
    fixture.board.setRunningElsewhere({i0: 4});
    const received = await fixture.ask();

    expect(received.status).toBe(503);
    expect(fixture.results[0].tookMs).toBeLessThan(500 / 4);
    expect(backends[0].requests).toHaveLength(0);
  });

  test('that waits for a place takes the first that gets free', async () => {
    const {fixture} = await start(
      [stream('a', [1], 'whole')],
      {...route, objectiveMs: 20_000},
      model,
    );
    fixture.board.setRunningElsewhere({i0: 4});
    const asked = fixture.ask();
    setTimeout(() => fixture.board.setRunningElsewhere({i0: 3}), 50);

    expect((await asked).body).toBe(events(1));
  });
});
