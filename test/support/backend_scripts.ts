/** Scripted HTTP responses of fake backend servers, and a fixture that proxies requests to them. */
import {afterEach} from 'vitest';
import {GatewayRules} from '../../src/protocol/gateway_rules';
import {GatewayTarget} from '../../src/protocol/gateway_target';
import {FakeBackend} from './fake_backend';
import {ProxyFixture} from './proxy_fixture';

type Handler = Parameters<typeof FakeBackend.create>[0];
type Route = GatewayRules['routes'][number];

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** Starts a fake backend server for each handler and a proxy in front of them; both close after the test. */
export async function startFixture(
  handlers: readonly Handler[],
  route: Partial<Route> = {},
  target: Partial<GatewayTarget> = {},
  options: Parameters<typeof FakeBackend.create>[1] = {},
) {
  const backends = await Promise.all(
    handlers.map(handle => FakeBackend.create(handle, options)),
  );
  const fixture = await ProxyFixture.create(backends, route, target);
  closers.push(...backends.map(backend => () => backend.close()), () =>
    fixture.close(),
  );
  return {fixture, backends};
}

/** Writes this text to the connection, with CRLF line ends. */
export function writeRaw(text: string): Handler {
  return ({socket}) => socket.write(text.replaceAll('\n', '\r\n'));
}

/** Sends a complete 200 response. */
export function sendOk(body: string, headers = ''): Handler {
  return writeRaw(
    `HTTP/1.1 200 OK\nrequest-id: q\nseal: s\ncontent-length: ${body.length}\n${headers}\n${body}`,
  );
}

/** Resets the connection. */
export const resetConnection: Handler = ({socket}) => socket.resetAndDestroy();
/** Sends a 503 response that says that the request was not run. */
export const refuseNotRun: Handler = arrived => {
  const id = arrived.headers.get('request-id');
  writeRaw(
    `HTTP/1.1 503 Full\nrequest-id: ${id}\nnot-run: 1\ncontent-length: 0\n\n`,
  )(arrived);
};
/** The response head of an event stream. */
export const STREAM_HEAD =
  'HTTP/1.1 200 OK\nrequest-id: q\nseal: first\ncontent-type: text/event-stream\ntransfer-encoding: chunked\n\n';

/** Encodes one chunk of a chunked HTTP body. */
export function encodeChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Encodes server-sent events with these ids. */
export function encodeEvents(...ids: number[]): string {
  return ids.map(id => `id: ${id}\ndata: t${id}\n\n`).join('');
}

/** Sends events of a stream, which then completes, is reset or stalls. */
export function sendStream(
  seal: string,
  ids: number[],
  end: 'whole' | 'reset' | 'silent',
  extra = '',
): Handler {
  return ({socket}) => {
    socket.write(STREAM_HEAD.replace('first', seal).replaceAll('\n', '\r\n'));
    socket.write(encodeChunk(encodeEvents(...ids) + extra));
    if (end === 'whole') {
      setTimeout(() => socket.write('0\r\n\r\n'), 10);
    } else if (end === 'reset') {
      setTimeout(() => socket.resetAndDestroy(), 10);
    }
  };
}

/** Sends a stream that echoes the request id and has one event per interval. */
export function sendPacedStream(count: number, intervalMs: number): Handler {
  return ({socket, headers}) => {
    const id = headers.get('request-id') ?? '';
    socket.write(
      STREAM_HEAD.replace('request-id: q', `request-id: ${id}`).replaceAll(
        '\n',
        '\r\n',
      ),
    );
    let sent = 0;
    for (let at = 1; at <= count; at += 1) {
      // After a pause of this process, timers of different delays fire in another order.
      setTimeout(() => {
        sent += 1;
        const last = sent === count ? '0\r\n\r\n' : '';
        socket.write(encodeChunk(encodeEvents(sent)) + last);
      }, at * intervalMs);
    }
  };
}
