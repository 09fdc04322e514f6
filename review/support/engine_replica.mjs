/* global Buffer, clearTimeout, setTimeout */
/**
 * A replica of a model service, as a process of its own. It follows PROTOCOL: registers about
 * every heartbeat and at once after a change, answers /v1/report, and carries out the orders
 * join, open, close, leave and stage with their epochs, fences and counts. It serves no requests;
 * they get 421.
 *
 * Lines on standard output tell each change of its group and each registration. The line
 * {"holdBeat": ADDRESS} on standard input sends the next registration to that address.
 */
import http from 'node:http';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';
import {call, HEARTBEAT_MS} from './fleet.mjs';

const options = JSON.parse(process.argv[2]);
const {id, service, address, zone, domain, models, formMs, controls, slots} =
  options;
const [host, port] = address.split(':');
/** Until a group has this model in memory, a join takes as long as the model tells. */
const LOADED_JOIN_MS = 200;
/** Loads before the first request take a tenth of the time. */
const EARLY_LOAD_FACTOR = 0.1;
/** `About every heartbeat_ms`: the shortest pause, as a fraction. */
const SHORTEST_PAUSE = 0.95;
const DRAIN_MS = 2000;

let sequence = 0;
let ordersTaken = 0;
let highestEpoch = 0;
let highestFence = 0;
let group;
let loaded;
let staged = options.staged;
let staging;
let timer;
let holdBeatAt;
let state = 'ready';
let control = Math.floor(Math.random() * controls.length);

/** The monotonic clock, which all processes of a machine share. */
function readClockMs() {
  return Number(process.hrtime.bigint()) / 1e6;
}

function tell(event) {
  process.stdout.write(
    `${JSON.stringify({replica: id, at: readClockMs(), ...event})}\n`,
  );
}

function setGroup(next) {
  group = next;
  tell({event: 'group', group});
  void beat();
}

function describe() {
  return {
    stage: 'unified',
    models: loaded ? [{name: loaded, version: 1, adapters: []}] : [],
    domain,
    staged,
    group: group && {
      name: group.name,
      epoch: group.epoch,
      rank: group.rank,
      state: group.state,
    },
  };
}

async function beat(isRegular = false) {
  sequence += 1;
  const count = sequence;
  const body = JSON.stringify({
    service,
    address,
    zone,
    version: 'v1',
    slots,
    state,
    cold_remaining_ms: 0,
    sequence: count,
    ...describe(),
  });
  const target = `/v1/replicas/${id}`;
  if (holdBeatAt) {
    const to = holdBeatAt;
    holdBeatAt = undefined;
    tell({event: 'heldBeat', sequence: count, target, body, to});
    await call({address: to, method: 'PUT', path: target, body});
    return false;
  }
  for (let tries = 0; tries < controls.length; tries += 1) {
    const {status} = await call({
      address: controls[control],
      method: 'PUT',
      path: target,
      body,
    });
    if (status >= 200 && status < 300) {
      tell({event: 'beat', sequence: count, isRegular});
      return true;
    }
    control = (control + 1) % controls.length;
  }
  return false;
}

function isSameGroup(order) {
  return group?.name === order.group && group.epoch === order.epoch;
}

const orders = {
  join(order) {
    const rank = order.members.indexOf(id);
    const model = models.find(({name}) => name === order.model);
    if (rank < 0 || !model) {
      return 400;
    }
    const isKnown = isSameGroup(order);
    const isOther =
      isKnown && group.members.join(' ') !== order.members.join(' ');
    if (order.epoch < highestEpoch || isOther) {
      return 412;
    }
    if (isKnown) {
      return 200;
    }
    highestEpoch = order.epoch;
    const isStaged = staged.includes(order.model);
    const loadMs = isStaged
      ? model.warm_s * 1000
      : model.load_s * 1000 * EARLY_LOAD_FACTOR;
    const takesMs = loaded === order.model ? LOADED_JOIN_MS : loadMs;
    loaded = loaded === order.model ? loaded : undefined;
    clearTimeout(timer);
    const joined = {
      name: order.group,
      epoch: order.epoch,
      rank,
      members: order.members,
      state: 'joining',
    };
    tell({event: 'join', group: joined, before: group});
    setGroup(joined);
    timer = setTimeout(() => {
      loaded = order.model;
      staged = [order.model];
      setGroup({...joined, state: 'ready'});
    }, takesMs);
    return 202;
  },
  open(order) {
    if (!isSameGroup(order) || group.rank !== 0) {
      return 409;
    }
    if (group.state === 'open') {
      return 200;
    }
    if (group.state !== 'ready') {
      return 409;
    }
    timer = setTimeout(() => setGroup({...group, state: 'open'}), formMs);
    return 202;
  },
  close(order) {
    if (!isSameGroup(order)) {
      return 409;
    }
    if (group.state !== 'open') {
      return 200;
    }
    clearTimeout(timer);
    setGroup({...group, state: 'ready'});
    return 202;
  },
  leave(order) {
    if (!isSameGroup(order)) {
      return 409;
    }
    clearTimeout(timer);
    setGroup(undefined);
    return 200;
  },
  stage({model: name}) {
    const model = models.find(known => known.name === name);
    if (!model) {
      return 400;
    }
    if (staged.includes(name)) {
      return 200;
    }
    if (staging) {
      return 409;
    }
    staging = setTimeout(
      () => {
        staging = undefined;
        staged = [...staged, name].slice(-2);
        void beat();
      },
      model.load_s * 1000 * EARLY_LOAD_FACTOR,
    );
    return 202;
  },
};

function takeOrder(order) {
  const handler = orders[order.operation];
  if (!handler) {
    return 400;
  }
  if ((order.fence ?? highestFence) < highestFence) {
    return 412;
  }
  const expected = order.expected_revision ?? ordersTaken;
  if (expected !== ordersTaken) {
    return 409;
  }
  highestFence = order.fence ?? highestFence;
  const status = handler(order);
  const hasBegun =
    status === 202 || (status === 200 && order.operation === 'leave');
  ordersTaken += hasBegun ? 1 : 0;
  return status;
}

function answer(response, status, body, headers = {}) {
  response.writeHead(status, {'content-type': 'application/json', ...headers});
  response.end(JSON.stringify(body));
}

const server = http.createServer((request, response) => {
  const chunks = [];
  request.on('data', chunk => chunks.push(chunk));
  request.on('end', () => {
    const expected = request.headers['x-whinreel-expect-instance'];
    if (expected !== undefined && expected !== id) {
      answer(response, 421, {}, {'X-Whinreel-Instance-Id': id});
    } else if (request.url === '/v1/report') {
      answer(response, 200, {
        ...describe(),
        busy: group?.state === 'joining',
        sequence: ordersTaken,
        queued: 0,
        running: 0,
        kv_used: 0,
        kv_total: 90000,
        handles: 0,
        pace: 1,
      });
    } else if (request.url === '/v1/order') {
      const order = JSON.parse(Buffer.concat(chunks).toString());
      const status = takeOrder(order);
      tell({event: 'order', order, status});
      answer(response, status, {});
    } else if (request.url === '/health') {
      answer(response, 200, {}, {'X-Whinreel-Instance-Id': id});
    } else {
      answer(response, 421, {}, {'X-Whinreel-Not-Executed': '1'});
    }
  });
});

async function beatRegularly() {
  await beat(true);
  const pause =
    HEARTBEAT_MS * (SHORTEST_PAUSE + (1 - SHORTEST_PAUSE) * Math.random());
  setTimeout(() => void beatRegularly(), pause);
}

/** Says that it leaves, serves on for `drain_ms` after the acknowledgement, says goodbye and ends. */
async function drain() {
  state = 'draining';
  while (!(await beat())) {
    tell({event: 'drainUnanswered'});
  }
  await sleep(DRAIN_MS);
  const target = `/v1/replicas/${id}`;
  await call({address: controls[control], method: 'DELETE', path: target});
  tell({event: 'ends'});
  process.exit(0);
}

server.listen(Number(port), host, () => {
  tell({event: 'listens'});
  void beatRegularly();
});
createInterface({input: process.stdin})
  .on('line', line => {
    const {holdBeat, drains} = JSON.parse(line);
    holdBeatAt = holdBeat;
    if (drains) {
      void drain();
    }
  })
  .on('close', () => process.exit(0));
process.on('SIGTERM', () => process.exit(0));
