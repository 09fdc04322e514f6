/** A gateway that takes a malformed address for a target ends, and all its requests with it. */
import {afterEach, beforeEach, expect, test} from 'vitest';
import {createRandom} from '../soak/create_random';
import {waitUntil} from '../support/wait_until';
import {drawMalformedAddresses} from './draw_malformed_addresses';
import {FaultyBackend} from './faulty_backend';
import {FaultyCallers} from './faulty_callers';
import {FaultyFleet} from './faulty_fleet';
import {listMalformedAddresses} from './malformed_addresses';

const SEED = 71;
const LIMIT_MS = 90_000;
const DRAWN_ADDRESSES = 16;
const TRAFFIC_MS = 4_000;
/** Each kills one machine of either role. */
const ROUNDS_OF_KILLS = 4;
const MAX_QUOTED_LENGTH = 100;
const REFUSED = 400;
const OK = 200;

/** A backend server that registers something else than where it listens. */
interface MalformedBackend {
  readonly address: string;
  readonly backend: FaultyBackend;
}

let fleet: FaultyFleet;
let sound: FaultyBackend[];
let malformed: MalformedBackend[];
let callers: FaultyCallers;

beforeEach(async () => {
  sound = [];
  malformed = [];
  fleet = await FaultyFleet.create(SEED);
  for (const [at, service] of ['sound', 'sound', 'mixed'].entries()) {
    sound.push(await createBackend(`sound-${at}`, service));
  }
  callers = FaultyCallers.create(fleet);
  await waitUntil('the sound servers to serve', () =>
    callers.answered.some(
      ({service, reply}) => service === 'mixed' && reply.status === OK,
    ),
  );
  await callers.stop();
}, LIMIT_MS);

afterEach(async () => {
  await callers.stop();
  sound.forEach(backend => backend.close());
  malformed.forEach(({backend}) => backend.close());
  await fleet.close();
});

function createBackend(id: string, service: string, address?: string) {
  const changes = address === undefined ? undefined : {address};
  const control = () => fleet.chooseControl();
  return FaultyBackend.create({id, service, control, changes});
}

async function registerMalformed(): Promise<void> {
  const [{port}] = sound;
  const listed = listMalformedAddresses(port);
  const address = `127.0.0.1:${port}`;
  const drawn = drawMalformedAddresses(address, SEED, DRAWN_ADDRESSES);
  const places = [
    ...[...listed, ...drawn].map(text => ['malformed', text]),
    ['mixed', listed[0]],
  ];
  for (const [at, [service, text]] of places.entries()) {
    const backend = await createBackend(`malformed-${at}`, service, text);
    malformed.push({address: text, backend});
  }
}

/** Counts answers that are wrong, by service and status; empty when there is none. */
function countWrongAnswers(): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {service, entry, reply} of callers.answered) {
    const {status, isWhole} = reply;
    const isServed = status === OK && isWhole;
    const isOwed = service !== 'malformed' && !fleet.wasHarmed(entry, reply);
    const blamesCaller = status >= 400 && status < 500;
    if (blamesCaller || (isOwed && !isServed)) {
      const what = `${service}: ${status} ${reply.error}`.trim();
      counts[what] = (counts[what] ?? 0) + 1;
    }
  }
  return counts;
}

/** The refusal names the field and quotes the text. */
function isRefused({address, backend}: MalformedBackend): boolean {
  const {status, body} = backend.refusal ?? {status: 0, body: '{}'};
  const {error = ''} = JSON.parse(body) as {error?: string};
  const text = address.slice(0, MAX_QUOTED_LENGTH);
  const isQuoted = error.includes(text) || error.includes(JSON.stringify(text));
  return status === REFUSED && /\baddress: /.test(error) && isQuoted;
}

async function checkRegistrations(): Promise<void> {
  const isAnswered = ({backend}: MalformedBackend) =>
    [REFUSED, OK].some(status => backend.statuses[status] > 0);
  await waitUntil('answers to registrations', () =>
    malformed.every(isAnswered),
  );
  const wrong = malformed.filter(
    each => !isRefused(each) || OK in each.backend.statuses,
  );
  const described = wrong.map(
    ({address, backend: {statuses, refusal}}) =>
      `${JSON.stringify(address)}: ${JSON.stringify(statuses)} ${refusal?.body}`,
  );
  expect.soft(described).toEqual([]);
  const refusals = sound.map(({refusal}) => refusal?.body);
  expect.soft(refusals).toEqual(sound.map(() => undefined));
}

test(
  'malformed addresses in registrations end no process and cost a sound service nothing',
  async () => {
    await registerMalformed();
    callers = FaultyCallers.create(fleet);
    await new Promise(resolve => setTimeout(resolve, TRAFFIC_MS));
    await callers.stop();

    expect.soft(fleet.ends).toEqual([]);
    expect.soft(countWrongAnswers()).toEqual({});
    await checkRegistrations();
    const statuses = sound.map(backend => Object.keys(backend.statuses));
    expect.soft(statuses).toEqual(sound.map(() => [String(OK)]));
  },
  LIMIT_MS,
);

test(
  'malformed addresses in registrations end no process while others are killed and started',
  async () => {
    const random = createRandom(SEED);
    await registerMalformed();
    callers = FaultyCallers.create(fleet);
    for (let round = 0; round < ROUNDS_OF_KILLS; round += 1) {
      for (const machines of [fleet.entries, fleet.controls]) {
        await fleet.restart(machines[Math.floor(random() * machines.length)]);
      }
    }
    await callers.stop();

    expect.soft(fleet.ends).toEqual([]);
    expect.soft(countWrongAnswers()).toEqual({});
    await checkRegistrations();
  },
  LIMIT_MS,
);
