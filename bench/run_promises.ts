/**
 * Measures the times behind the guarantees of the system: stop and repair of a
 * group, change of the control leader, claims, roll-outs and recovery of the log.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import * as http from 'node:http';
import {cpus, tmpdir} from 'node:os';
import * as path from 'node:path';
import {ServerAddress} from '../src/common/server_address';
import {Bundle} from '../src/protocol/bundle';
import {computeDigest} from '../src/protocol/compute_digest';
import {ControlClient} from '../src/protocol/control_client';
import {splitIdentity} from '../src/protocol/split_identity';
import {LogRecord} from '../src/state/log_record';
import {WriteAheadLog} from '../src/state/write_ahead_log';
import {TestFleet} from '../test/support/test_fleet';
import {waitUntil} from '../test/support/wait_until';
import {SessionLoadGenerator} from './session_load_generator';
import {summarize} from './summarize';

const KEY = 'promises-key';
const ROUNDS = 5;
const CLAIMS = 1_000;
const CONCURRENT_CLAIMS = 64;
const SIMULATED_HOSTS = 200;
const LOG_ENTRY_COUNTS = [1_000, 10_000, 50_000];
const ONCE_ONLY_CALLS = 500;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function formatTimes(values: readonly number[]): string {
  const {median, p99, count} = summarize(values);
  return `median ${median.toFixed(1)} p99 ${p99.toFixed(1)} ms (${count} samples)`;
}

function createBundle(version: number, hostsPerReplica: number): Bundle {
  return Bundle.parse({
    operator: 'promises',
    version,
    models: [
      {
        name: 'assistant',
        replicas: hostsPerReplica > 0 ? 100 : 0,
        hostsPerReplica: 2,
      },
    ],
    services: [
      {
        name: 'dispatch',
        replicas: 1,
        notRepeatable: [{method: 'POST', pathPrefix: '/once'}],
      },
    ],
    workspaces: [
      {name: 'caller', keyHashes: [computeDigest(KEY)], maxInFlight: 10_000},
    ],
  });
}

/** Whether a host process reports that the group which it leads is serving. */
async function isServing(fleet: TestFleet, hostId: string): Promise<boolean> {
  const port = fleet.findHost(hostId).ready['announcePort'];
  const response = await fetch(`http://127.0.0.1:${port}/status`);
  const {report} = (await response.json()) as {
    report: {isServing: boolean} | null;
  };
  return report?.isServing ?? false;
}

async function measureRepair(): Promise<void> {
  const stops: number[] = [];
  const repairs: number[] = [];
  const host = (hostId: string) => ({
    hostId,
    domain: 'd1',
    kind: 'model' as const,
    name: 'assistant',
  });
  const fleet = await TestFleet.create({hosts: ['h1', 'h2', 'h3'].map(host)});
  try {
    const bundle = createBundle(1, 2);
    await fleet.rollOut({
      ...bundle,
      models: [{...bundle.models[0], replicas: 1}],
    });
    await waitUntil('the group serves', () => isServing(fleet, 'h1'));
    let victim = 'h2';
    for (let round = 0; round < ROUNDS; round += 1) {
      const killedAt = performance.now();
      await fleet.findHost(victim).kill();
      await waitUntil(
        'the group stops',
        async () => !(await isServing(fleet, 'h1')),
      );
      stops.push(performance.now() - killedAt);
      await waitUntil('the group serves again', () => isServing(fleet, 'h1'));
      repairs.push(performance.now() - killedAt);
      await fleet.restartHost(victim);
      victim = victim === 'h2' ? 'h3' : 'h2';
      await new Promise(resolve => setTimeout(resolve, 2_000));
    }
  } finally {
    await fleet.close();
  }
  print(`a member is killed, its group stops: ${formatTimes(stops)}`);
  print(
    `a member is killed, its group serves again with a spare: ${formatTimes(repairs)}`,
  );
}

async function measureLeaderChange(): Promise<void> {
  const times: number[] = [];
  const fleet = await TestFleet.create({hosts: [], entries: 0});
  try {
    await fleet.rollOut(createBundle(1, 0));
    for (let round = 0; round < ROUNDS; round += 1) {
      const {leader} = await fleet.operator.readStatus();
      const {name} = splitIdentity(leader);
      const killedAt = performance.now();
      await fleet.findControl(name).kill();
      await fleet.waitForStatus(
        'a new leader',
        status => status.leader !== leader,
      );
      times.push(performance.now() - killedAt);
      await fleet.startControl(name);
      await fleet.waitForStatus('all voters', ({voters}) =>
        voters.every(voter => voter.isReachable && voter.isCaughtUp),
      );
    }
  } finally {
    await fleet.close();
  }
  print(`the leader is killed, a new one answers: ${formatTimes(times)}`);
}

function createClaim(at: number) {
  return {
    workspace: 'caller',
    key: `key-${at}`,
    attemptId: `attempt-${at}`,
    digest: 'd',
    groupId: 'g',
    epoch: 1,
    hostId: 'h',
    incarnation: 'i',
    address: '127.0.0.1:1',
  };
}

async function measureControl(): Promise<void> {
  const fleet = await TestFleet.create({hosts: [], entries: 0});
  try {
    await fleet.rollOut(createBundle(1, 0));
    const identity = {program: 'entry' as const, id: 'bench', incarnation: 'i'};
    const client = ControlClient.create({
      addresses: fleet.controlAddresses.map(ServerAddress.parse),
      identity,
    });
    let next = 0;
    const claim = async () => {
      const askedAt = performance.now();
      await client.ask({type: 'claim-ask', claim: createClaim((next += 1))});
      return performance.now() - askedAt;
    };
    const sequential: number[] = [];
    for (let at = 0; at < CLAIMS; at += 1) {
      sequential.push(await claim());
    }
    print(`one claim at a time: ${formatTimes(sequential)}`);
    const startedAt = performance.now();
    const concurrent: number[] = [];
    const runWorker = async () => {
      while (concurrent.length < CLAIMS * 10) {
        concurrent.push(await claim());
      }
    };
    await Promise.all(Array.from({length: CONCURRENT_CLAIMS}, runWorker));
    const seconds = (performance.now() - startedAt) / 1_000;
    print(
      `${CONCURRENT_CLAIMS} claims at once share writes: ${formatTimes(concurrent)}, ` +
        `${Math.round(concurrent.length / seconds)} claims/s`,
    );
    client.close();
    await measureRollOut(fleet);
  } finally {
    await fleet.close();
  }
}

async function measureRollOut(fleet: TestFleet): Promise<void> {
  const {leader} = await fleet.operator.readStatus();
  const {port} = fleet.findControl(splitIdentity(leader).name).ready;
  const generator = SessionLoadGenerator.create(`127.0.0.1:${String(port)}`);
  const times: number[] = [];
  await generator.addHosts(0, SIMULATED_HOSTS);
  for (let version = 2; version < 2 + ROUNDS; version += 1) {
    const startedAt = performance.now();
    await fleet.rollOut(createBundle(version, 0));
    await waitUntil('in force everywhere', () => {
      const versions = [...generator.bundleVersions.values()];
      return (
        versions.length === SIMULATED_HOSTS &&
        versions.every(seen => seen === version)
      );
    });
    times.push(performance.now() - startedAt);
  }
  generator.close();
  print(
    `a bundle is sent, ${SIMULATED_HOSTS} light hosts know it: ${formatTimes(times)}`,
  );
}

async function measureRecovery(): Promise<void> {
  for (const length of LOG_ENTRY_COUNTS) {
    const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-recovery-'));
    const log = await WriteAheadLog.create(folder);
    const records = Array.from({length}, (_, at): LogRecord => {
      const command = {type: 'claim' as const, time: at, ...createClaim(at)};
      return {type: 'entry', entry: {index: at + 1, term: 1, command}};
    });
    await log.append(records);
    await log.close();
    const startedAt = performance.now();
    const reopened = await WriteAheadLog.create(folder);
    print(
      `a log of ${length} entries is read in ${(performance.now() - startedAt).toFixed(0)} ms`,
    );
    await reopened.close();
    rmSync(folder, {recursive: true});
  }
}

async function measureOnceOnly(): Promise<void> {
  const fleet = await TestFleet.create({
    hosts: [{hostId: 's1', domain: 'd', kind: 'service', name: 'dispatch'}],
  });
  try {
    await fleet.rollOut(createBundle(1, 0));
    await fleet.waitForServing(1);
    await fleet.waitForReady();
    const agent = new http.Agent({keepAlive: true});
    const times: Record<string, number[]> = {'/any': [], '/once': []};
    for (let at = 0; at < ONCE_ONLY_CALLS * 2; at += 1) {
      for (const [place, list] of Object.entries(times)) {
        const sentAt = performance.now();
        await post(`${fleet.getEntryUrl()}/services/dispatch${place}`, agent);
        // The first half lets the JIT compiler optimise the code and is not counted.
        if (at >= ONCE_ONLY_CALLS) {
          list.push(performance.now() - sentAt);
        }
      }
    }
    agent.destroy();
    const added =
      summarize(times['/once']).median - summarize(times['/any']).median;
    print(`a call that may repeat: ${formatTimes(times['/any'])}`);
    print(
      `a once-only call: ${formatTimes(times['/once'])}, added at the median ${added.toFixed(2)} ms`,
    );
  } finally {
    await fleet.close();
  }
}

function post(url: string, agent: http.Agent): Promise<void> {
  return new Promise((resolve, reject) => {
    const headers = {authorization: `Bearer ${KEY}`, 'content-length': 4};
    const request = http.request(
      url,
      {method: 'POST', agent, headers},
      response => {
        response.resume().on('end', resolve);
      },
    );
    request.on('error', reject);
    request.end('body');
  });
}

async function main(): Promise<void> {
  print(
    `node ${process.version}, ${cpus().length} cores, ${new Date().toISOString().slice(0, 10)}`,
  );
  await measureRepair();
  await measureLeaderChange();
  await measureControl();
  await measureOnceOnly();
  await measureRecovery();
}

main().catch((error: Error) => {
  process.stderr.write(`bench: ${error.message}\n`);
  process.exitCode = 1;
});
