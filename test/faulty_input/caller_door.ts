import * as fc from 'fast-check';
import {DrawnDoor} from './drawn_door';
import {DrawnWorld} from './drawn_world';
import {oddValues} from './odd_values';
import {sendRaw} from './send_raw';

const PATIENCE_MS = 4_000;
/** The gateway may give the request up, or the answer of the sound server does not go on where the caller says. */
const EXCUSES = new Set(['X-Whinreel-Request-Deadline-Ms', 'Last-Event-Id']);
const NAMES = [
  'X-Whinreel-Request-Id',
  ...EXCUSES,
  'X-Whinreel-Token-Usage',
  'X-Whinreel-Prompt-Prefix',
  'X-Whinreel-Model',
  'X-Whinreel-Length-Hint',
  'X-Whinreel-Request-Priority',
  'X-Whinreel-Expect-Instance',
  'X-Whinreel-Expect-Version',
  'X-Whinreel-Tenant',
  'Authorization',
  'Content-Length',
  'Transfer-Encoding',
  'Connection',
  'Keep-Alive',
  'Expect',
  'Upgrade',
  'Host',
  'Te',
  'Trailer',
  'Content-Type',
  'Cookie',
  '__proto__',
  'constructor',
];
const VALUES = [
  '1e309',
  '1e309,80',
  '-1,-1',
  'Infinity',
  '1460,80',
  '0x10',
  'a:1,b:2,c:3',
  ':,:,:',
  ','.repeat(3_000),
  'a:1e309,'.repeat(500),
  'bearer',
  'Bearer ',
  'Bearer sound-key',
  'Bearer __proto__',
  'chunked',
  'chunked, chunked',
  'gzip',
  'close, x-whinreel-request-id',
  'keep-alive, host',
  '100-continue',
  'h2c',
  'sound-0',
];
const METHODS = ['GET', 'POST', 'PUT', 'HEAD', 'OPTIONS', 'TRACE', 'CONNECT'];
const PATHS = [
  '/sound/g/a',
  '/sound/u/a',
  '/sound/s/a',
  '/sound/g/../../a',
  '/sound/g/%00%zz',
  '/sound/g/?a=☃',
  '/sound/g/\u0001',
  '//sound/g/',
  'http://sound.example/sound/g/a',
  '*',
  'sound.example:80',
  '/nothing/',
  `/sound/g/${'x'.repeat(10_000)}`,
];

/** A request as it goes out, but for its id. */
interface DrawnRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyArray<readonly [string, string]>;
  readonly body: string;
}

const oddValue = fc.oneof(
  {weight: 3, arbitrary: fc.constantFrom(...VALUES)},
  {weight: 3, arbitrary: oddValues.text},
  {weight: 1, arbitrary: oddValues.number.map(String)},
);

/**
 * Requests of callers to the sound service with odd heads.
 *
 * @example
 * createCallerDoor(world);
 */
export function createCallerDoor(world: DrawnWorld): DrawnDoor<DrawnRequest> {
  const {fleet, broken} = world;
  return {
    name: 'caller',
    weight: 450,
    lanes: 12,
    draw: fc.record({
      method: fc.oneof(
        {weight: 6, arbitrary: fc.constantFrom('GET', 'POST')},
        {weight: 1, arbitrary: fc.constantFrom(...METHODS, 'NO SUCH', '☃')},
      ),
      path: fc.oneof(
        {weight: 6, arbitrary: fc.constantFrom(...PATHS.slice(0, 3))},
        {weight: 2, arbitrary: fc.constantFrom(...PATHS)},
      ),
      headers: fc.array(fc.tuple(fc.constantFrom(...NAMES), oddValue), {
        maxLength: 2,
      }),
      body: fc.constantFrom('', '', 'a', 'a'.repeat(70_000), '0\r\n\r\n'),
    }),
    async play(input) {
      const number = world.takeNumber();
      const gateway = await fleet.findGateway();
      const {ip, ports} = gateway.options;
      const from = performance.now();
      const reply = await sendRaw({
        host: ip,
        port: ports.front,
        text: formatRequest(input, `caller-${number}`),
        patienceMs: PATIENCE_MS,
      });
      world.countOutcome(`caller ${reply.status}`);
      const isExcused = input.headers.some(([name]) => EXCUSES.has(name));
      if (fleet.wasDisturbed([gateway], from) || isExcused) {
        return;
      }
      if (reply.status >= 500 && !fleet.isRecovering(from)) {
        const example = {
          input: shorten(input),
          reply: reply.text.slice(0, 400),
        };
        broken.record(`a request of a caller got ${reply.status}`, example);
      }
    },
  };
}

/** A drawn header stands in place of the sound one of its name. */
function formatRequest(input: DrawnRequest, id: string): string {
  const {method, path, headers, body} = input;
  const sound: Record<string, string> = {
    Host: 'sound.example',
    'X-Whinreel-Request-Id': id,
    Authorization: 'Bearer sound-key',
    Connection: 'close',
    'Content-Length': String(Buffer.byteLength(body)),
  };
  headers.forEach(([name]) => delete sound[name]);
  const lines = [...Object.entries(sound), ...headers].map(
    ([name, value]) => `${name}: ${value}`,
  );
  return [`${method} ${path} HTTP/1.1`, ...lines, '', body].join('\r\n');
}

function shorten(input: DrawnRequest): DrawnRequest {
  const headers = input.headers.map(
    ([name, value]) => [name, value.slice(0, 60)] as const,
  );
  return {...input, headers, body: input.body.slice(0, 20)};
}
