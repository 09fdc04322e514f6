/**
 * Prints the CPU time of checking a request against the list of suspects: with an
 * empty list, with suspects of another workspace and with suspects of its own.
 *
 * Usage: `npm run bench:identity`
 */
import {RequestIdentity} from '../src/gateway/crashes/request_identity';
import {SuspectList} from '../src/gateway/crashes/suspect_list';

const BODY_BYTES = 16 * 1024;
const ITERATIONS = 40_000;
const US_PER_MS = 1_000;

const body = Buffer.alloc(BODY_BYTES, 'x');
const request = {
  host: 'h',
  method: 'POST',
  path: '/chat/completions',
  model: 'm',
  promptParts: ['5c1e07a2', '91bd3f06', '77aa01e4'],
};

function createIdentity(workspace: string): RequestIdentity {
  return RequestIdentity.create({request, workspace, body});
}

/** CPU time of one iteration in microseconds. */
function measure(check: () => unknown): number {
  const before = process.cpuUsage();
  for (let iteration = 0; iteration < ITERATIONS; iteration += 1) {
    check();
  }
  const {user, system} = process.cpuUsage(before);
  return (user + system) / ITERATIONS;
}

function createList(count: number): SuspectList {
  const list = SuspectList.create();
  const convicted = Array.from(
    {length: count},
    (_, at) => createIdentity('held').name.slice(0, 8) + String(at),
  );
  const nobody = {suspected: [], freed: []};
  list.apply({version: 1, isWhole: true, convicted, ...nobody});
  return list;
}

/** Parts of prompts, of which many may be watched after a crash. */
function createPartList(count: number): SuspectList {
  const list = SuspectList.create();
  const parts = Array.from({length: count}, (_, at) => ({
    name: `part:${at}@m`,
    standing: 'convicted' as const,
    companions: [],
  }));
  const nobody = {suspected: [], convicted: [], freed: []};
  list.apply({version: 1, isWhole: true, parts, ...nobody});
  return list;
}

const empty = createList(0);
const withParts = createPartList(1_000);
const full = createList(64);
const cases: Readonly<Record<string, () => unknown>> = {
  'nothing is held against anybody': () =>
    empty.findStatus(createIdentity('other')),
  'something is held against another caller': () =>
    full.findStatus(createIdentity('other')),
  'parts of other prompts are held back': () =>
    withParts.findStatus(createIdentity('other')),
  'something is held against this caller': () =>
    full.findStatus(createIdentity('held')),
};
for (const [name, check] of Object.entries(cases)) {
  measure(check);
  const us = measure(check);
  console.log(
    `${name}: ${us.toFixed(2)} microseconds (${((us / US_PER_MS / 10) * 44).toFixed(4)}% of a core at 44 requests a second)`,
  );
}
