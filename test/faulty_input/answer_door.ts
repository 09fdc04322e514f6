import * as fc from 'fast-check';
import {DrawnDoor} from './drawn_door';
import {DrawnWorld} from './drawn_world';
import {OddServer} from './odd_server';
import {oddValues} from './odd_values';
import {sendRaw} from './send_raw';

const SERVICES = 4;
const SERVERS = 2;
const PATIENCE_MS = 4_000;
const NAMES = [
  'Server-Limit',
  'Server-Leaving',
  'Retry-After',
  'X-Whinreel-Cold-Ms',
  'X-Whinreel-Token-Usage',
  'X-Whinreel-Request-Id',
  'X-Whinreel-Response-Seal',
  'X-Whinreel-Weights-Versions',
  'X-Whinreel-Not-Executed',
  'X-Whinreel-Instance-Id',
  'Content-Length',
  'Content-Type',
  'Content-Encoding',
  'Transfer-Encoding',
  'Connection',
  'Keep-Alive',
  'At-Server',
  'Set-Cookie',
  'Trailer',
  'Upgrade',
  '__proto__',
];
const VALUES = ['0', '1', '1e309,80', '0.000000001', '999999999', 'chunked'];
const STATUSES = [
  '100 Continue',
  '101 Switching Protocols',
  '102 Processing',
  '103 Early Hints',
  '199 Odd',
  '201 Created',
  '204 No Content',
  '205 Reset Content',
  '206 Partial Content',
  '300 Choices',
  '304 Not Modified',
  '307 Elsewhere',
  '400 Bad Request',
  '401 Unauthorized',
  '404 Not Found',
  '408 Request Timeout',
  '413 Too Large',
  '421 Misdirected Request',
  '422 Odd',
  '425 Too Early',
  '429 Too Many Requests',
  '500 Odd',
  '502 Odd',
  '503 Service Unavailable',
  '504 Odd',
  '599 Odd',
  '600 Odd',
  '999 Odd',
  '000 Odd',
  '20 Odd',
  '2e2 Odd',
  '200 \u0001☃',
];
const OWN_4XX = /^HTTP\/1\.1 (4\d\d)/;

/** An answer, but for the id of its request. */
interface DrawnAnswer {
  readonly status: string;
  readonly headers: ReadonlyArray<readonly [string, string]>;
  readonly body: string;
  readonly closes: boolean;
}

const oddValue = fc.oneof(
  {weight: 2, arbitrary: fc.constantFrom(...VALUES)},
  {weight: 3, arbitrary: oddValues.text},
  {weight: 3, arbitrary: oddValues.number.map(value => String(value))},
);

/**
 * Answers of backend servers with odd heads and bodies.
 *
 * @example
 * await createAnswerDoor(world);
 */
export async function createAnswerDoor(
  world: DrawnWorld,
): Promise<DrawnDoor<DrawnAnswer>> {
  const {fleet, broken} = world;
  const answers = new Map<string, DrawnAnswer>();
  const reached = new Set<string>();
  const servers: OddServer[] = [];
  for (let at = 0; at < SERVICES * SERVERS; at += 1) {
    const service = `answer${at % SERVICES}`;
    servers.push(
      await OddServer.create({
        fleet,
        name: `${service}-${at}`,
        registration: {service, ...world.start},
        answer: ({id}) => {
          const answer = answers.get(id);
          reached.add(id);
          return formatAnswer(answer, id);
        },
      }),
    );
  }
  return {
    name: 'answer',
    weight: 300,
    lanes: 12,
    draw: fc.record({
      status: fc.oneof(
        {weight: 4, arbitrary: fc.constant('200 OK')},
        {weight: 2, arbitrary: fc.constantFrom(...STATUSES)},
      ),
      headers: fc.array(fc.tuple(fc.constantFrom(...NAMES), oddValue), {
        maxLength: 2,
      }),
      body: fc.oneof(
        fc.constantFrom(
          'ran',
          '',
          'id: 1\ndata: a\n\n',
          'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
          'id: 9007199254740993\ndata: a\n\nid: 1e309\ndata: b\n\n',
          'id: -1\nid: ☃\ndata: a\n\nid: 2',
          'x-whinreel-weights-versions: 1e309\nid: 1\ndata: a\n\n',
          ':\n\n\r\n\r\r\n\0',
        ),
        fc.string({unit: 'binary', maxLength: 40}),
      ),
      closes: fc.boolean(),
    }),
    async play(input, lane) {
      const number = world.takeNumber();
      const id = `answer-${number}`;
      const gateway = await fleet.findGateway();
      const {ip, ports} = gateway.options;
      const from = performance.now();
      answers.set(id, input);
      const reply = await sendRaw({
        host: ip,
        port: ports.front,
        text: `GET /answer${lane % SERVICES}/a HTTP/1.1\r\nHost: sound.example\r\nX-Whinreel-Request-Id: ${id}\r\nConnection: close\r\n\r\n`,
        patienceMs: PATIENCE_MS,
      });
      answers.delete(id);
      const wasReached = reached.delete(id);
      world.countOutcome(
        wasReached ? `answer ${reply.status}` : 'answer not reached',
      );
      if (fleet.wasDisturbed([gateway], from)) {
        return;
      }
      const example = {input, reply: reply.text.slice(0, 300)};
      const own = OWN_4XX.exec(reply.text)?.[1];
      if (own && !input.status.startsWith(own)) {
        broken.record(`a caller got ${own} for a server's fault`, example);
      }
      if (reply.wasGivenUp) {
        broken.record('a caller waits for the end of an answer', example);
      }
    },
    close: () => servers.forEach(server => server.close()),
  };
}

/** A drawn header stands in place of the sound one of its name. */
function formatAnswer(answer: DrawnAnswer | undefined, id: string) {
  const {status, headers, body, closes} = answer ?? {
    status: '503 Service Unavailable',
    headers: [['X-Whinreel-Not-Executed', '1']],
    body: '',
    closes: true,
  };
  const sound: Record<string, string> = {
    'X-Whinreel-Request-Id': id,
    'X-Whinreel-Response-Seal': 's',
    'Content-Type': body.startsWith('id') ? 'text/event-stream' : 'text/plain',
    'Content-Length': String(Buffer.byteLength(body)),
  };
  headers.forEach(([name]) => delete sound[name]);
  const lines = [...Object.entries(sound), ...headers].map(
    ([name, value]) => `${name}: ${value}`,
  );
  const bytes = [`HTTP/1.1 ${status}`, ...lines, '', body].join('\r\n');
  return {bytes, closes};
}
