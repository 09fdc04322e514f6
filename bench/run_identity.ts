/**
 * Prints what telling a request apart costs in processor time: where nothing is
 * held against its caller, where something is, and its identity alone.
 *
 * Usage: `npm run bench:identity`
 */
import {RequestIdentity} from '../src/gateway/request_identity';
import {SuspectList} from '../src/gateway/suspect_list';

const BODY_BYTES = 16 * 1024;
const ROUNDS = 40_000;
const US_PER_MS = 1_000;

const body = Buffer.alloc(BODY_BYTES, 'x');
const request = {host: 'h', method: 'POST', path: '/chat/completions'};

function createIdentity(workspace: string): RequestIdentity {
  return RequestIdentity.create({request, workspace, body});
}

/** Processor time of one round in microseconds. */
function measure(act: () => unknown): number {
  const before = process.cpuUsage();
  for (let round = 0; round < ROUNDS; round += 1) {
    act();
  }
  const {user, system} = process.cpuUsage(before);
  return (user + system) / ROUNDS;
}

function createList(held: number): SuspectList {
  const list = SuspectList.create();
  const convicted = Array.from(
    {length: held},
    (_, at) => createIdentity('held').name.slice(0, 8) + String(at),
  );
  const nobody = {suspected: [], freed: []};
  list.apply({version: 1, isWhole: true, convicted, ...nobody});
  return list;
}

const empty = createList(0);
const full = createList(64);
const cases: Readonly<Record<string, () => unknown>> = {
  'nothing is held against anybody': () =>
    empty.findStatus(createIdentity('other')),
  'something is held against another caller': () =>
    full.findStatus(createIdentity('other')),
  'something is held against this caller': () =>
    full.findStatus(createIdentity('held')),
};
for (const [name, act] of Object.entries(cases)) {
  measure(act);
  const us = measure(act);
  console.log(
    `${name}: ${us.toFixed(2)} microseconds (${((us / US_PER_MS / 10) * 44).toFixed(4)}% of a core at 44 requests a second)`,
  );
}
