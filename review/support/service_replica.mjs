/* global Buffer, setInterval, setTimeout */
/**
 * A replica of a plain service, as a process of its own. It follows PROTOCOL: registers
 * about every heartbeat, handles `slots` requests at once, queues a few more, rejects the
 * rest with 503 and X-Whinreel-Not-Executed, answers 421 to what names another instance,
 * seals its answers, and drops a request that is still queued when its connection closes.
 *
 * Lines on standard output tell what it did. Messages on standard input change its faults.
 */
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {call, HEARTBEAT_MS} from './fleet.mjs';

const options = JSON.parse(process.argv[2]);
const {id, service, address, zone, slots, queue, workMs, controls} = options;
const [host, port] = address.split(':');
const REQUEST_ID = 'x-whinreel-request-id';

/** Share of the answers that are handed out once more, later, where the next answer is due. */
let surplusShare = 0;
/** Answers since the share was last set, and how many of them are handed out again. */
let answers = 0;
let repeated = 0;
let running = 0;
let sequence = 0;
let control = Math.floor(Math.random() * controls.length);
const waiting = [];

function tell(event) {
  process.stdout.write(`${JSON.stringify({replica: id, ...event})}\n`);
}

function drawWorkMs() {
  const [least, most] = workMs;
  return least + (most - least) * Math.random();
}

function format(status, reason, headers, body) {
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return `HTTP/1.1 ${status} ${reason}\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Answers, and may keep the same answer for the place of the connection's next one. */
function answer(request, response, status, headers, body = '') {
  const requestId = request.headers[REQUEST_ID] ?? '';
  const all = {
    'X-Whinreel-Request-Id': requestId,
    'Content-Length': Buffer.byteLength(body),
    ...headers,
  };
  response.writeHead(status, all);
  response.end(body);
  answers += 1;
  // Drawn by lot, but never more than the share of what was answered.
  const hasRoom = repeated + 1 <= surplusShare * answers;
  if (hasRoom && Math.random() < 2 * surplusShare) {
    repeated += 1;
    const reason = http.STATUS_CODES[status];
    request.socket.surplus = {
      bytes: format(status, reason, {...all, Connection: 'keep-alive'}, body),
      status,
      requestId,
    };
  }
}

function run(request, response) {
  running += 1;
  const requestId = request.headers[REQUEST_ID];
  tell({event: 'run', requestId, method: request.method, path: request.url});
  setTimeout(() => {
    running -= 1;
    if (!response.destroyed) {
      const seal = randomBytes(8).toString('hex');
      const body = JSON.stringify({requestId, by: id});
      answer(request, response, 200, {'X-Whinreel-Response-Seal': seal}, body);
    }
    const next = waiting.shift();
    next?.();
  }, drawWorkMs());
}

function handle(request, response) {
  const {surplus} = request.socket;
  if (surplus) {
    request.socket.surplus = undefined;
    const {status, requestId} = surplus;
    tell({
      event: 'surplus',
      status,
      requestId,
      inPlaceOf: request.headers[REQUEST_ID],
    });
    request.socket.write(surplus.bytes);
  }
  request.resume();
  const expected = request.headers['x-whinreel-expect-instance'];
  if (expected !== undefined && expected !== id) {
    answer(request, response, 421, {'X-Whinreel-Instance-Id': id});
    return;
  }
  if (request.url === '/health') {
    answer(request, response, 200, {'X-Whinreel-Instance-Id': id});
    return;
  }
  if (request.headers[REQUEST_ID] === undefined) {
    answer(request, response, 400, {'X-Whinreel-Not-Executed': 1});
    return;
  }
  if (running < slots) {
    run(request, response);
  } else if (waiting.length < queue) {
    const start = () => run(request, response);
    waiting.push(start);
    response.on('close', () => {
      const at = waiting.indexOf(start);
      if (at >= 0) {
        waiting.splice(at, 1);
      }
    });
  } else {
    answer(request, response, 503, {'X-Whinreel-Not-Executed': 1});
  }
}

async function beat() {
  sequence += 1;
  const body = JSON.stringify({
    service,
    address,
    zone,
    version: 'v1',
    slots,
    state: 'ready',
    cold_remaining_ms: 0,
    sequence,
  });
  for (let tries = 0; tries < controls.length; tries += 1) {
    const {status} = await call({
      address: controls[control],
      method: 'PUT',
      path: `/v1/replicas/${id}`,
      body,
    });
    if (status >= 200 && status < 300) {
      return;
    }
    control = (control + 1) % controls.length;
  }
}

const server = http.createServer({keepAliveTimeout: 60_000}, handle);
server.listen(Number(port), host, () => {
  tell({event: 'listens'});
  void beat();
  setInterval(() => void beat(), HEARTBEAT_MS);
});
createInterface({input: process.stdin})
  .on('line', line => {
    ({surplusShare = surplusShare} = JSON.parse(line));
    answers = 0;
    repeated = 0;
  })
  .on('close', () => process.exit(0));
process.on('SIGTERM', () => process.exit(0));
