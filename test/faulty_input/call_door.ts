import * as fc from 'fast-check';
import {DrawnDoor} from './drawn_door';
import {DrawnWorld} from './drawn_world';
import {oddValues} from './odd_values';
import {sendRaw} from './send_raw';

const PATIENCE_MS = 2_000;
const DEEP = 100_000;
const MANY_BYTES = 9 * 1_024 * 1_024;
const CALLS = [
  'PUT /v1/config',
  'GET /v1/config',
  'POST /v1/config',
  'PUT /v1/replicas/',
  'PUT /v1/replicas/none',
  'DELETE /v1/replicas/',
  'GET /v1/replicas/none',
  'POST /v1/evacuate/',
  'DELETE /v1/evacuate/',
  'POST /v1/evacuate/none',
  'GET /',
  'PATCH /v1',
  'OPTIONS *',
  'constructor __proto__',
];
const BODIES: Readonly<Record<string, () => string>> = {
  empty: () => '',
  text: () => 'a',
  null: () => 'null',
  number: () => '1e309',
  list: () => '[]',
  prototype: () => '{"__proto__":{"version":1},"constructor":1}',
  deep: () => '['.repeat(DEEP) + ']'.repeat(DEEP),
  large: () => `"${'x'.repeat(MANY_BYTES)}"`,
  latin: () => '\xff\xfe',
  repeated: () =>
    '{"version":1,"version":2,"routes":[],"services":[],"limits":{}}',
};

/** One call of an operator or a server. */
interface DrawnCall {
  readonly call: string;
  /** Behind a path that ends in a slash. */
  readonly name: string;
  readonly body: string;
  /** What the head says of the body's length beyond it. */
  readonly extraLength: number;
}

/**
 * Calls to control with odd paths and bodies.
 *
 * @example
 * createCallDoor(world);
 */
export function createCallDoor(world: DrawnWorld): DrawnDoor<DrawnCall> {
  const {fleet, broken} = world;
  return {
    name: 'call',
    weight: 30,
    lanes: 2,
    draw: fc.record({
      call: fc.constantFrom(...CALLS),
      name: fc.oneof(
        oddValues.text,
        oddValues.text.map(text =>
          encodeURIComponent(Buffer.from(text).toString()),
        ),
      ),
      body: fc.constantFrom(...Object.keys(BODIES)),
      extraLength: fc.constantFrom(0, 0, 0, 0, 0, 1, -1),
    }),
    async play(input) {
      const from = performance.now();
      const {ip, ports} = fleet.chooseControl().options;
      const {call, name, body, extraLength} = input;
      const path = call.endsWith('/') ? call + name : call;
      const bytes = BODIES[body]();
      const length = Math.max(0, Buffer.byteLength(bytes) + extraLength);
      const reply = await sendRaw({
        host: ip,
        port: ports.control,
        text: `${path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: ${length}\r\n\r\n${bytes}`,
        patienceMs: PATIENCE_MS,
      });
      world.countOutcome(`call ${reply.status}`);
      const isOurs =
        reply.status >= 500 || (reply.wasGivenUp && extraLength <= 0);
      if (isOurs && !fleet.isRecovering(from)) {
        const example = {input, reply: reply.text.slice(0, 300)};
        broken.record(`an odd call got ${reply.status}`, example);
      }
    },
  };
}
