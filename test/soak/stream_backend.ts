/**
 * Program of a backend server that answers with event streams, in chunks or
 * without length and chunks, and registers itself with the time of its start.
 * On SIGTERM it says that it leaves, serves on for a while and ends.
 */
import * as http from 'node:http';
import {createRandom} from './create_random';
import {sendCall} from './send_call';
import {streamEvents} from './stream_events';

/** Set in the environment by the run that starts it. */
interface StreamBackendOptions {
  readonly name: string;
  readonly port: number;
  readonly seed: number;
  /** Addresses of control processes. */
  readonly controls: readonly string[];
}

const HEARTBEAT_MS = 300;
const CALL_MS = 1_000;
/** Part of the streams that are sent without length and chunks. */
const UNFRAMED_SHARE = 0.5;
/** Part of the events that leave in two pieces, so that an end may fall between them. */
const SPLIT_SHARE = 0.2;
const SPLIT_MS = 5;
/** Between two events: from this long to this much longer. */
const PAUSE_MS = 15;
const PAUSE_SPREAD_MS = 60;
/** Longer than the longest stream. */
const LEAVING_MS = 1_500;
const SLOTS = 16;
const MISDIRECTED = 421;

const options = JSON.parse(
  process.env['STREAM_BACKEND'] ?? '{}',
) as StreamBackendOptions;
const {name, port, seed, controls} = options;
const born = Date.now();
const random = createRandom(seed);
let sequence = 0;
let runs = 0;
let isLeaving = false;

function answer(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const {headers} = request;
  const requestId = String(headers['x-whinreel-request-id']);
  if (headers['x-whinreel-expect-instance'] !== name) {
    response.writeHead(MISDIRECTED, {
      'x-whinreel-request-id': requestId,
      'x-whinreel-instance-id': name,
    });
    response.end();
    return;
  }
  const isUnframed = random() < UNFRAMED_SHARE;
  // Without chunks, Node.js ends such a response by closing the connection.
  response.useChunkedEncodingByDefault = !isUnframed;
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-whinreel-request-id': requestId,
    'x-whinreel-response-seal': 's',
  });
  response.flushHeaders();
  void writeEvents(response, {
    key: String(headers['x-soak-key']),
    requestId,
    from: Number(headers['last-event-id'] ?? 0) + 1,
    framing: isUnframed ? 'unframed' : 'chunked',
  });
}

async function writeEvents(
  response: http.ServerResponse,
  {key, requestId, from, framing}: StreamPlan,
): Promise<void> {
  runs += 1;
  const run = {name: `${name}.${born}.${runs}`, from, framing};
  const total = streamEvents.countEvents(key);
  const pauseMs = PAUSE_MS + random() * PAUSE_SPREAD_MS;
  for (let number = from; number <= total; number += 1) {
    await sleep(pauseMs);
    if (response.destroyed) {
      return;
    }
    const text = streamEvents.format({key, requestId, number, total, run});
    const isSplit = random() < SPLIT_SHARE;
    const at = isSplit ? Math.floor(random() * text.length) : 0;
    if (at > 0) {
      response.write(text.slice(0, at));
      await sleep(SPLIT_MS);
    }
    response.write(text.slice(at));
  }
  response.end();
}

interface StreamPlan {
  readonly key: string;
  readonly requestId: string;
  /** Number of the first event. */
  readonly from: number;
  readonly framing: string;
}

/** Control may be down; the next registration goes to another process. */
async function callControl(method: 'PUT' | 'DELETE'): Promise<void> {
  sequence += 1;
  const control = controls[Math.floor(random() * controls.length)];
  await sendCall({
    url: `http://${control}/v1/replicas/${name}`,
    method,
    patienceMs: CALL_MS,
    body: JSON.stringify({
      service: 'p',
      address: `127.0.0.1:${port}`,
      zone: 'z',
      slots: SLOTS,
      state: isLeaving ? 'draining' : 'ready',
      sequence,
      born,
    }),
  });
}

async function leave(): Promise<void> {
  isLeaving = true;
  await callControl('PUT');
  await sleep(LEAVING_MS);
  await callControl('DELETE');
  process.exit(0);
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

const server = http.createServer((request, response) => {
  request.resume();
  request.on('end', () => answer(request, response));
});
server.listen(port, '127.0.0.1', () => {
  void callControl('PUT');
  setInterval(() => void callControl('PUT'), HEARTBEAT_MS);
  process.on('SIGTERM', () => void leave());
  process.stdout.write(`${JSON.stringify({ready: true})}\n`);
});
