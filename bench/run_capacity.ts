/**
 * Measures the slopes behind docs/CAPACITY.md: what control spends for each
 * host, group and entry, and what roll-outs take on many sessions.
 */
import {cpus} from 'node:os';
import {Bundle} from '../src/protocol/bundle';
import {computeDigest} from '../src/protocol/compute_digest';
import {splitIdentity} from '../src/protocol/split_identity';
import {ManagedProcess} from '../test/support/managed_process';
import {TestFleet} from '../test/support/test_fleet';
import {waitUntil} from '../test/support/wait_until';
import {SessionLoadGenerator} from './session_load_generator';
import {readProcessUsage} from './read_process_usage';

const HOST_STEPS = [0, 200, 400, 800];
const ENTRY_STEPS = [0, 40, 80];
const MEASURE_MS = 6_000;
const SETTLE_MS = 3_000;
const MS_PER_SECOND = 1_000;
const HOSTS_PER_GROUP = 8;

interface Sample {
  readonly cpuShare: number;
  readonly residentMb: number;
  readonly sentPerSecond: number;
  readonly receivedPerSecond: number;
  readonly answersPerSecond: number;
}

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function createBundle(version: number, replicas: number): Bundle {
  return Bundle.parse({
    operator: 'capacity',
    version,
    models: [{name: 'assistant', replicas, hostsPerReplica: HOSTS_PER_GROUP}],
    workspaces: [{name: 'bench', keyHashes: [computeDigest('key')]}],
  });
}

async function measure(
  leader: ManagedProcess,
  light: SessionLoadGenerator,
): Promise<Sample> {
  const before = readProcessUsage(leader.pid);
  const traffic = {...light.traffic};
  const startedAt = performance.now();
  await sleep(MEASURE_MS);
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const after = readProcessUsage(leader.pid);
  const {sentBytes, receivedBytes, answers} = light.traffic;
  return {
    cpuShare: (after.cpuSeconds - before.cpuSeconds) / seconds,
    residentMb: after.residentMb,
    sentPerSecond: (sentBytes - traffic.sentBytes) / seconds,
    receivedPerSecond: (receivedBytes - traffic.receivedBytes) / seconds,
    answersPerSecond: (answers - traffic.answers) / seconds,
  };
}

function reportSample(what: string, sample: Sample): void {
  say(
    `${what}: leader ${(sample.cpuShare * 100).toFixed(1)}% of a core, ` +
      `${sample.residentMb.toFixed(0)} MB, ` +
      `in ${(sample.sentPerSecond / MS_PER_SECOND).toFixed(1)} KB/s, ` +
      `out ${(sample.receivedPerSecond / MS_PER_SECOND).toFixed(1)} KB/s, ` +
      `${sample.answersPerSecond.toFixed(0)} answers/s`,
  );
}

async function measureHosts(
  fleet: TestFleet,
  leader: ManagedProcess,
  light: SessionLoadGenerator,
): Promise<void> {
  let added = 0;
  for (const hosts of HOST_STEPS) {
    await light.addHosts(added, hosts);
    added = hosts;
    const groups = hosts / HOSTS_PER_GROUP;
    const entry = fleet.findEntry('entry-1');
    await fleet.waitForStatus(
      `${groups} groups`,
      status => status.groups.length >= groups,
    );
    await sleep(SETTLE_MS);
    const before = readProcessUsage(entry.pid);
    reportSample(
      `${hosts} hosts in ${groups} groups, 1 entry`,
      await measure(leader, light),
    );
    const after = readProcessUsage(entry.pid);
    const share =
      (after.cpuSeconds - before.cpuSeconds) / (MEASURE_MS / MS_PER_SECOND);
    say(
      `  the entry, ${groups} links, no requests: ${(share * 100).toFixed(1)}% of a core, ` +
        `${after.residentMb.toFixed(0)} MB`,
    );
  }
}

async function measureEntries(
  leader: ManagedProcess,
  light: SessionLoadGenerator,
): Promise<void> {
  let added = 0;
  for (const entries of ENTRY_STEPS) {
    await light.addEntries(added, entries);
    added = entries;
    await sleep(SETTLE_MS);
    const hosts = HOST_STEPS.at(-1);
    reportSample(
      `${hosts} hosts, ${entries} entries`,
      await measure(leader, light),
    );
  }
}

async function measureRollOut(
  fleet: TestFleet,
  light: SessionLoadGenerator,
): Promise<void> {
  const version = 2;
  const startedAt = performance.now();
  await fleet.rollOut(createBundle(version, 1_000));
  const acceptedAt = performance.now();
  await waitUntil('the bundle is in force everywhere', () =>
    [...light.bundleVersions.values()].every(seen => seen === version),
  );
  const sessions = light.bundleVersions.size;
  say(
    `roll-out: accepted in ${(acceptedAt - startedAt).toFixed(0)} ms, ` +
      `known to ${sessions} sessions ${(performance.now() - acceptedAt).toFixed(0)} ms later`,
  );
}

async function main(): Promise<void> {
  say(
    `node ${process.version}, ${cpus().length} cores, ${new Date().toISOString().slice(0, 10)}`,
  );
  const fleet = await TestFleet.create({hosts: [], entries: 1});
  let light: SessionLoadGenerator | undefined;
  try {
    await fleet.rollOut(createBundle(1, 1_000));
    const status = await fleet.operator.readStatus();
    const {name} = splitIdentity(status.leader);
    const leader = fleet.findControl(name);
    light = SessionLoadGenerator.create(`127.0.0.1:${leader.ready['port']}`);
    await measureHosts(fleet, leader, light);
    await measureEntries(leader, light);
    await measureRollOut(fleet, light);
    for (const control of fleet.controls.values()) {
      say(
        `${control.label}: ${readProcessUsage(control.pid).residentMb.toFixed(0)} MB`,
      );
    }
  } finally {
    light?.close();
    await fleet.close();
  }
}

main().catch((error: Error) => {
  process.stderr.write(`bench: ${error.message}\n`);
  process.exitCode = 1;
});
