import * as fc from 'fast-check';
import {createVariation} from './create_variation';
import {DrawnDoor} from './drawn_door';
import {DrawnWorld} from './drawn_world';
import {formatOddJson} from './format_odd_json';
import {OddServer} from './odd_server';

const SERVERS = 2;
/** Control asks when it has something to order. */
const ASKED_WITHIN_MS = 600;
const BEATS = 4;
const PAUSE_MS = 10;

const sound = {
  stage: 'unified',
  models: [{name: 'm1', version: 1, adapters: []}],
  busy: false,
  sequence: 2,
  queued: 1,
  running: 2,
  kv_used: 41_000,
  kv_total: 90_000,
  handles: 0,
  pace: 1,
  staged: ['m1'],
  domain: 'd',
};

/** What a server of the engine answers to control. */
interface DrawnReport {
  readonly status: string;
  readonly body: object;
  readonly order: string;
}

/**
 * Answers of the servers of an engine to `GET /v1/report` and `POST /v1/order`.
 *
 * @example
 * await createReportDoor(world);
 */
export async function createReportDoor(
  world: DrawnWorld,
): Promise<DrawnDoor<DrawnReport> & {countAsked(): number}> {
  const pending: DrawnReport[] = [];
  let current: DrawnReport = {status: '200 OK', body: sound, order: '202 OK'};
  let asked = 0;
  const servers: OddServer[] = [];
  for (let at = 0; at < SERVERS; at += 1) {
    servers.push(
      await OddServer.create({
        fleet: world.fleet,
        name: `engine-${at}`,
        beats: BEATS,
        registration: {
          service: 'engine',
          ...world.start,
          domain: 'd',
          models: [],
          staged: ['m1'],
          stage: 'unified',
        },
        answer: ({path}) => {
          const isReport = path === '/v1/report';
          if (isReport) {
            current = pending.shift() ?? current;
            asked += 1;
          }
          const body = isReport ? formatOddJson(current.body) : '';
          const status = isReport ? current.status : current.order;
          const length = Buffer.byteLength(body);
          return {
            bytes: `HTTP/1.1 ${status}\r\nContent-Length: ${length}\r\n\r\n${body}`,
            closes: true,
          };
        },
      }),
    );
  }
  return {
    name: 'report',
    weight: 20,
    lanes: 1,
    draw: fc.record({
      status: fc.oneof(
        {weight: 5, arbitrary: fc.constant('200 OK')},
        {weight: 1, arbitrary: fc.constantFrom('500 Odd', '204 Odd', '2 Odd')},
      ),
      body: createVariation<object>(sound),
      order: fc.constantFrom(
        '202 OK',
        '200 OK',
        '409 Odd',
        '412 Odd',
        '600 Odd',
      ),
    }),
    async play(input) {
      const until = performance.now() + ASKED_WITHIN_MS;
      pending.push(input);
      while (pending.includes(input) && performance.now() < until) {
        await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
      }
      pending.length = 0;
    },
    countAsked: () => asked,
    close: () => servers.forEach(server => server.close()),
  };
}
