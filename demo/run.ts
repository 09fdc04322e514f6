/**
 * Starts a small fleet for each of the two users on loopback, rolls out their
 * example bundles, sends real requests, shows what was decided, stops it all.
 */
import * as path from 'node:path';
import {Bundle} from '../src/protocol/bundle';
import {readBundleFile} from '../src/operator/read_bundle_file';
import {TextReporter} from '../src/operator/text_reporter';
import {TestFleet} from '../test/support/test_fleet';

const EXAMPLES = path.resolve(__dirname, '../../examples');

interface Scene {
  readonly file: string;
  readonly key: string;
  readonly question: string;
  readonly serviceCall: {readonly path: string; readonly body: string};
}

const SCENES: readonly Scene[] = [
  {
    file: 'kura.yaml',
    key: 'demo-key-saburtalo',
    question: 'Explain the pressure drop at valve chamber 12.',
    serviceCall: {
      path: '/services/logger-config/digests',
      body: '{"digest":"night"}',
    },
  },
  {
    file: 'tbilisi-linen.yaml',
    key: 'demo-key-hotel',
    question: 'Draft the pickup schedule for tomorrow.',
    serviceCall: {
      path: '/services/dispatch/pickups',
      body: '{"hotel":"A","time":"07:30"}',
    },
  },
];

function say(text: string): void {
  process.stdout.write(text);
}

async function step<T>(what: string, work: () => Promise<T>): Promise<T> {
  say(`- ${what} ... `);
  const startedAt = performance.now();
  try {
    const result = await work();
    say(`done in ${Math.round(performance.now() - startedAt)} ms\n`);
    return result;
  } catch (error) {
    say('FAILED\n');
    throw new Error(`step "${what}" failed: ${(error as Error).message}`);
  }
}

function planHosts(bundle: Bundle) {
  const hosts = bundle.models.flatMap(model =>
    Array.from({length: model.replicas * model.hostsPerReplica}, (_, at) => ({
      hostId: `${model.name}-host-${at + 1}`,
      domain: `domain-${Math.floor(at / model.hostsPerReplica) + 1}`,
      kind: 'model' as const,
      name: model.name,
      engine: {firstTokenMs: 30, tokenMs: 20},
    })),
  );
  const services = bundle.services.flatMap(service =>
    Array.from({length: service.replicas}, (_, at) => ({
      hostId: `${service.name}-host-${at + 1}`,
      domain: 'domain-services',
      kind: 'service' as const,
      name: service.name,
    })),
  );
  return [...hosts, ...services];
}

async function playScene(scene: Scene): Promise<void> {
  const bundle = readBundleFile(path.join(EXAMPLES, scene.file));
  say(`\n== ${bundle.operator} ==\n`);
  const hosts = planHosts(bundle);
  const fleet = await step(
    `start 3 control, ${hosts.length} host and 2 entry processes`,
    () => TestFleet.create({entries: 2, hosts}),
  );
  try {
    await playRequests(scene, bundle, fleet);
  } finally {
    await step('stop every process', () => fleet.close());
  }
}

async function playRequests(
  scene: Scene,
  bundle: Bundle,
  fleet: TestFleet,
): Promise<void> {
  const count = [...bundle.models, ...bundle.services].reduce(
    (sum, {replicas}) => sum + replicas,
    0,
  );
  await step(`roll out version ${bundle.version}`, async () => {
    const {answer} = await fleet.rollOut(bundle);
    if (!answer.isAccepted) {
      throw new Error(answer.reason);
    }
  });
  await step(`wait until ${count} groups serve`, () =>
    fleet.waitForServing(count),
  );
  await step('wait until both entries are ready', () => fleet.waitForReady());
  const headers = {
    authorization: `Bearer ${scene.key}`,
    'content-type': 'application/json',
  };
  say(`- ask: ${scene.question}\n  answer: `);
  await streamAnswer(fleet, bundle.models[0].name, scene.question, headers);
  await step(
    'one call that must run at most once, sent twice with one key',
    async () => {
      await callTwice(scene, fleet, headers);
    },
  );
  say('\nwhat control decided:\n');
  const reporter = TextReporter.create(say);
  reporter.report({
    type: 'journal',
    entries: await fleet.operator.readJournal({after: 0}),
  });
  say('\n');
  reporter.report({type: 'status', status: await fleet.operator.readStatus()});
}

async function streamAnswer(
  fleet: TestFleet,
  model: string,
  content: string,
  headers: Record<string, string>,
): Promise<void> {
  const response = await fetch(`${fleet.getEntryUrl()}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify({
      model,
      stream: true,
      messages: [{role: 'user', content}],
    }),
  });
  if (!response.ok || !response.body) {
    throw new Error(
      `the entry answered ${response.status}: ${await response.text()}`,
    );
  }
  const decoder = new TextDecoder();
  for await (const chunk of response.body) {
    const text = decoder.decode(chunk as Uint8Array, {stream: true});
    for (const [, token] of text.matchAll(/"content":"([^"]*)"/g)) {
      say(token);
    }
  }
  say(`\n  request ${response.headers.get('whinreel-request-id')}\n`);
}

async function callTwice(
  scene: Scene,
  fleet: TestFleet,
  headers: Record<string, string>,
): Promise<void> {
  const send = (entryId: string) =>
    fetch(`${fleet.getEntryUrl(entryId)}${scene.serviceCall.path}`, {
      method: 'POST',
      headers: {...headers, 'idempotency-key': 'demo-1'},
      body: scene.serviceCall.body,
    });
  const first = await send('entry-1');
  const second = await send('entry-2');
  const runs = [...fleet.engines.values()].reduce(
    (sum, engine) => sum + (engine.runsByBody.get(scene.serviceCall.body) ?? 0),
    0,
  );
  say(
    `\n  first: ${first.status} ${first.headers.get('whinreel-outcome')}, ` +
      `second at the other entry: ${second.status} ${second.headers.get('whinreel-outcome')}, ` +
      `runs: ${runs}\n  `,
  );
  if (runs !== 1) {
    throw new Error(`it ran ${runs} times`);
  }
}

async function main(): Promise<void> {
  for (const scene of SCENES) {
    await playScene(scene);
  }
  say('\nall steps done, nothing is left running\n');
}

main().catch((error: Error) => {
  process.stderr.write(`demo: ${error.message}\n`);
  process.exitCode = 1;
});
