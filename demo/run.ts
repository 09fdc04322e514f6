/**
 * For each of the two example operators: starts a small fleet on loopback, rolls out
 * the example bundle, sends real requests, prints the journal of control and the
 * status of the fleet, and stops all processes.
 */
import * as path from 'node:path';
import {Bundle} from '../src/protocol/bundle';
import {readBundleFile} from '../src/operator/read_bundle_file';
import {TextReporter} from '../src/operator/text_reporter';
import {TestFleet} from '../test/support/test_fleet';

const EXAMPLES = path.resolve(__dirname, '../../examples');

interface Scenario {
  readonly file: string;
  readonly key: string;
  readonly question: string;
  readonly serviceRequest: {readonly path: string; readonly body: string};
}

const SCENARIOS: readonly Scenario[] = [
  {
    file: 'kura.yaml',
    key: 'demo-key-saburtalo',
    question: 'Explain the pressure drop at valve chamber 12.',
    serviceRequest: {
      path: '/services/logger-config/digests',
      body: '{"digest":"night"}',
    },
  },
  {
    file: 'tbilisi-linen.yaml',
    key: 'demo-key-hotel',
    question: 'Draft the pickup schedule for tomorrow.',
    serviceRequest: {
      path: '/services/dispatch/pickups',
      body: '{"hotel":"A","time":"07:30"}',
    },
  },
];

function print(text: string): void {
  process.stdout.write(text);
}

async function runStep<T>(title: string, work: () => Promise<T>): Promise<T> {
  print(`- ${title} ... `);
  const startedAt = performance.now();
  try {
    const result = await work();
    print(`done in ${Math.round(performance.now() - startedAt)} ms\n`);
    return result;
  } catch (error) {
    print('FAILED\n');
    throw new Error(`step "${title}" failed: ${(error as Error).message}`);
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

async function runScenario(scenario: Scenario): Promise<void> {
  const bundle = readBundleFile(path.join(EXAMPLES, scenario.file));
  print(`\n== ${bundle.operator} ==\n`);
  const hosts = planHosts(bundle);
  const fleet = await runStep(
    `start 3 control, ${hosts.length} host and 2 entry processes`,
    () => TestFleet.create({entries: 2, hosts}),
  );
  try {
    await runRequests(scenario, bundle, fleet);
  } finally {
    await runStep('stop every process', () => fleet.close());
  }
}

async function runRequests(
  scenario: Scenario,
  bundle: Bundle,
  fleet: TestFleet,
): Promise<void> {
  const count = [...bundle.models, ...bundle.services].reduce(
    (sum, {replicas}) => sum + replicas,
    0,
  );
  await runStep(`roll out version ${bundle.version}`, async () => {
    const {answer} = await fleet.rollOut(bundle);
    if (!answer.isAccepted) {
      throw new Error(answer.reason);
    }
  });
  await runStep(`wait until ${count} groups serve`, () =>
    fleet.waitForServing(count),
  );
  await runStep('wait until both entries are ready', () =>
    fleet.waitForReady(),
  );
  const headers = {
    authorization: `Bearer ${scenario.key}`,
    'content-type': 'application/json',
  };
  print(`- ask: ${scenario.question}\n  answer: `);
  await streamAnswer(fleet, bundle.models[0].name, scenario.question, headers);
  await runStep(
    'one call that must run at most once, sent twice with one key',
    async () => {
      await sendTwice(scenario, fleet, headers);
    },
  );
  print('\njournal of control:\n');
  const reporter = TextReporter.create(print);
  reporter.report({
    type: 'journal',
    entries: await fleet.operator.readJournal({after: 0}),
  });
  print('\n');
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
      print(token);
    }
  }
  print(`\n  request ${response.headers.get('whinreel-request-id')}\n`);
}

async function sendTwice(
  scenario: Scenario,
  fleet: TestFleet,
  headers: Record<string, string>,
): Promise<void> {
  const send = (entryId: string) =>
    fetch(`${fleet.getEntryUrl(entryId)}${scenario.serviceRequest.path}`, {
      method: 'POST',
      headers: {...headers, 'idempotency-key': 'demo-1'},
      body: scenario.serviceRequest.body,
    });
  const first = await send('entry-1');
  const second = await send('entry-2');
  const runs = [...fleet.engines.values()].reduce(
    (sum, engine) =>
      sum + (engine.runsByBody.get(scenario.serviceRequest.body) ?? 0),
    0,
  );
  print(
    `\n  first: ${first.status} ${first.headers.get('whinreel-outcome')}, ` +
      `second at the other entry: ${second.status} ${second.headers.get('whinreel-outcome')}, ` +
      `runs: ${runs}\n  `,
  );
  if (runs !== 1) {
    throw new Error(`the request ran ${runs} times instead of once`);
  }
}

async function main(): Promise<void> {
  for (const scenario of SCENARIOS) {
    await runScenario(scenario);
  }
  print('\nall steps done, nothing is left running\n');
}

main().catch((error: Error) => {
  process.stderr.write(`demo: ${error.message}\n`);
  process.exitCode = 1;
});
