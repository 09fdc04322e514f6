import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {SoakMachine} from '../soak/soak_machine';
import {CrowdConnections} from './crowd_connections';
import {CrowdFleet} from './crowd_fleet';
import {CROWD_LIMITS} from './crowd_limits';
import {formatChunks} from './format_chunks';
import {ProcessPeaks} from './process_peaks';

const LIMIT_MS = 120_000;
const ONE_BYTE = 1;
const LARGE_CHUNK = 64 * 1024;
const CHUNKED_HEAD =
  'host: h.example\r\nx-whinreel-request-id: c\r\ntransfer-encoding: chunked\r\n\r\n';
const CALL_HEAD = `POST /a/ HTTP/1.1\r\n${CHUNKED_HEAD}`;
const CONFIGURE_HEAD = `PUT /v1/config HTTP/1.1\r\n${CHUNKED_HEAD}`;
const LONG_ANSWER_HEAD =
  'GET /g/long HTTP/1.1\r\nhost: h.example\r\nx-whinreel-request-id: c\r\n\r\n';
const HEAD_BYTES = 14 * 1024;

/** How many connections; each number is small beside what one machine can send. */
const ONE_BYTE_BODIES = 10;
const LARGE_CHUNK_BODIES = 240;
const AHEAD_CONNECTIONS = 100;
const AHEAD_REQUESTS = 200_000;
const AHEAD_BLOCK = 2_000;
/** More than the descriptors of the machine, together and each. */
const IDLE_CONNECTIONS = 600;
const HALF_HEADS = 600;
const UNREAD_ANSWERS = 80;
/** Leaves the unread answers their descriptors. */
const BODIES_BESIDE_ANSWERS = 150;

let fleet: CrowdFleet;
let crowds: CrowdConnections[];
let peaks: Record<'entry' | 'control', ProcessPeaks>;

beforeEach(async () => {
  crowds = [];
  fleet = await CrowdFleet.create();
  peaks = {
    entry: ProcessPeaks.create(fleet.entry.pid ?? 0),
    control: ProcessPeaks.create(fleet.control.pid ?? 0),
  };
});

afterEach(async () => {
  crowds.forEach(crowd => crowd.close());
  Object.values(peaks).forEach(each => each.close());
  await fleet.close();
});

async function open(
  {options: {ip}}: SoakMachine,
  port: number,
  crowd: Omit<Parameters<typeof CrowdConnections.create>[0], 'ip' | 'port'>,
): Promise<void> {
  crowds.push(await CrowdConnections.create({ip, port, ...crowd}));
}

/** Sends the same request again and again, and reads no answer. */
function sendAhead(
  machine: SoakMachine,
  port: number,
  request: string,
): Promise<void> {
  return open(machine, port, {
    count: AHEAD_CONNECTIONS,
    block: Buffer.from(request.repeat(AHEAD_BLOCK)),
    repeats: AHEAD_REQUESTS / AHEAD_BLOCK,
  });
}

/** The process lives and has never been over the memory and the descriptors of its machine. */
function checkBounds(role: 'entry' | 'control'): void {
  expect(fleet[role].unexpectedEnd).toBeUndefined();
  expect(peaks[role].memoryMb).toBeLessThan(CROWD_LIMITS.memoryMb);
  expect(peaks[role].fds).toBeLessThan(CROWD_LIMITS.maxSocketFds);
}

/** Bounds hold while the crowd is there, and after an ordinary call beside it. */
async function checkEntry(): Promise<void> {
  checkBounds('entry');
  expect(await fleet.isServing()).toBe(true);
  checkBounds('entry');
}

async function checkControl(): Promise<void> {
  checkBounds('control');
  expect(await fleet.isOperable()).toBe(true);
  checkBounds('control');
}

describe('crowd', () => {
  test(
    'unfinished bodies in chunks of one byte do not use up the memory of an entry',
    async () => {
      await open(fleet.entry, fleet.entry.options.ports.front, {
        count: ONE_BYTE_BODIES,
        head: CALL_HEAD,
        block: formatChunks(ONE_BYTE),
      });

      await checkEntry();
    },
    LIMIT_MS,
  );

  test(
    'unfinished bodies in large chunks do not use up the memory of an entry',
    async () => {
      await open(fleet.entry, fleet.entry.options.ports.front, {
        count: LARGE_CHUNK_BODIES,
        head: CALL_HEAD,
        block: formatChunks(LARGE_CHUNK),
      });

      await checkEntry();
    },
    LIMIT_MS,
  );

  test(
    'requests sent ahead without reading answers do not keep an entry from serving others',
    async () => {
      const {entry} = fleet;
      const request =
        'GET /g/ HTTP/1.1\r\nhost: h.example\r\nx-whinreel-request-id: c\r\n\r\n';
      await sendAhead(entry, entry.options.ports.front, request);

      await checkEntry();
    },
    LIMIT_MS,
  );

  test(
    'requests sent ahead to the readiness address do not keep an entry from serving others',
    async () => {
      const {entry} = fleet;
      const request = 'GET /v1/ready HTTP/1.1\r\nhost: h.example\r\n\r\n';
      await sendAhead(entry, entry.options.ports.ready, request);

      await checkEntry();
      expect(await fleet.isReady()).toBe(true);
    },
    LIMIT_MS,
  );

  test(
    'requests sent ahead to the metrics address do not keep an entry from serving others',
    async () => {
      const {entry} = fleet;
      const {metricsPort = 0} = entry.options;
      const request = 'GET /metrics HTTP/1.1\r\nhost: h.example\r\n\r\n';
      await sendAhead(entry, metricsPort, request);

      await checkEntry();
      expect(await fleet.isMeasured()).toBe(true);
    },
    LIMIT_MS,
  );

  test(
    'idle connections do not take the descriptors that an entry needs for others',
    async () => {
      const {entry} = fleet;
      await open(entry, entry.options.ports.front, {count: IDLE_CONNECTIONS});

      await checkEntry();
    },
    LIMIT_MS,
  );

  test(
    'unfinished heads do not take the descriptors that an entry needs for others',
    async () => {
      const {entry} = fleet;
      await open(entry, entry.options.ports.front, {
        count: HALF_HEADS,
        head: `GET /g/ HTTP/1.1\r\nhost: h.example\r\nx-a: ${'x'.repeat(HEAD_BYTES)}`,
      });

      await checkEntry();
    },
    LIMIT_MS,
  );

  test(
    'long answers that nobody reads do not use up the memory of an entry',
    async () => {
      const {entry} = fleet;
      await open(entry, entry.options.ports.front, {
        count: UNREAD_ANSWERS,
        head: LONG_ANSWER_HEAD,
      });
      await fleet.waitUntilSettled();

      await checkEntry();
    },
    LIMIT_MS,
  );

  test(
    'unfinished bodies and unread answers together do not use up the memory of an entry',
    async () => {
      const {entry} = fleet;
      const {front} = entry.options.ports;
      await open(entry, front, {
        count: UNREAD_ANSWERS,
        head: LONG_ANSWER_HEAD,
      });
      await open(entry, front, {
        count: BODIES_BESIDE_ANSWERS,
        head: CALL_HEAD,
        block: formatChunks(LARGE_CHUNK),
      });
      await fleet.waitUntilSettled();

      await checkEntry();
    },
    LIMIT_MS,
  );

  test(
    'idle connections do not take the descriptors that a control process needs for others',
    async () => {
      const {control} = fleet;
      const {ports} = control.options;
      await open(control, ports.control, {count: IDLE_CONNECTIONS});

      await checkControl();
    },
    LIMIT_MS,
  );

  test(
    'unfinished bodies in chunks of one byte do not use up the memory of a control process',
    async () => {
      await open(fleet.control, fleet.control.options.ports.control, {
        count: ONE_BYTE_BODIES,
        head: CONFIGURE_HEAD,
        block: formatChunks(ONE_BYTE),
      });

      await checkControl();
    },
    LIMIT_MS,
  );

  test(
    'unfinished bodies in large chunks do not use up the memory of a control process',
    async () => {
      await open(fleet.control, fleet.control.options.ports.control, {
        count: LARGE_CHUNK_BODIES,
        head: CONFIGURE_HEAD,
        block: formatChunks(LARGE_CHUNK),
      });

      await checkControl();
    },
    LIMIT_MS,
  );
});
