/**
 * Measures the rates behind docs/CAPACITY.md: how the load of control grows with
 * hosts, groups and entries, and how long a roll-out takes with many sessions.
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

const HOST_COUNTS = [0, 200, 400, 800];
const ENTRY_COUNTS = [0, 40, 80];
const SAMPLE_MS = 6_000;
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

function print(text: string): void {
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

async function measureLeader(
  leader: ManagedProcess,
  generator: SessionLoadGenerator,
): Promise<Sample> {
  const before = readProcessUsage(leader.pid);
  const traffic = {...generator.traffic};
  const startedAt = performance.now();
  await sleep(SAMPLE_MS);
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const after = readProcessUsage(leader.pid);
  const {sentBytes, receivedBytes, answers} = generator.traffic;
  return {
    cpuShare: (after.cpuSeconds - before.cpuSeconds) / seconds,
    residentMb: after.residentMb,
    sentPerSecond: (sentBytes - traffic.sentBytes) / seconds,
    receivedPerSecond: (receivedBytes - traffic.receivedBytes) / seconds,
    answersPerSecond: (answers - traffic.answers) / seconds,
  };
}

function reportSample(title: string, sample: Sample): void {
  print(
    `${title}: leader ${(sample.cpuShare * 100).toFixed(1)}% of a core, ` +
      `${sample.residentMb.toFixed(0)} MB, ` +
      `in ${(sample.sentPerSecond / MS_PER_SECOND).toFixed(1)} KB/s, ` +
      `out ${(sample.receivedPerSecond / MS_PER_SECOND).toFixed(1)} KB/s, ` +
      `${sample.answersPerSecond.toFixed(0)} answers/s`,
  );
}

async function measureHosts(
  fleet: TestFleet,
  leader: ManagedProcess,
  generator: SessionLoadGenerator,
): Promise<void> {
  let added = 0;
  for (const hosts of HOST_COUNTS) {
    await generator.addHosts(added, hosts);
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
      await measureLeader(leader, generator),
    );
    const after = readProcessUsage(entry.pid);
    const share =
      (after.cpuSeconds - before.cpuSeconds) / (SAMPLE_MS / MS_PER_SECOND);
    print(
      `  the entry, ${groups} links, no requests: ${(share * 100).toFixed(1)}% of a core, ` +
        `${after.residentMb.toFixed(0)} MB`,
    );
  }
}

async function measureEntries(
  leader: ManagedProcess,
  generator: SessionLoadGenerator,
): Promise<void> {
  let added = 0;
  for (const entries of ENTRY_COUNTS) {
    await generator.addEntries(added, entries);
    added = entries;
    await sleep(SETTLE_MS);
    const hosts = HOST_COUNTS.at(-1);
    reportSample(
      `${hosts} hosts, ${entries} entries`,
      await measureLeader(leader, generator),
    );
  }
}

async function measureRollOut(
  fleet: TestFleet,
  generator: SessionLoadGenerator,
): Promise<void> {
  const version = 2;
  const startedAt = performance.now();
  await fleet.rollOut(createBundle(version, 1_000));
  const acceptedAt = performance.now();
  await waitUntil('the bundle is in force everywhere', () =>
    [...generator.bundleVersions.values()].every(seen => seen === version),
  );
  const sessions = generator.bundleVersions.size;
  print(
    `roll-out: accepted in ${(acceptedAt - startedAt).toFixed(0)} ms, ` +
      `known to ${sessions} sessions ${(performance.now() - acceptedAt).toFixed(0)} ms later`,
  );
}

async function main(): Promise<void> {
  print(
    `node ${process.version}, ${cpus().length} cores, ${new Date().toISOString().slice(0, 10)}`,
  );
  const fleet = await TestFleet.create({hosts: [], entries: 1});
  let generator: SessionLoadGenerator | undefined;
  try {
    await fleet.rollOut(createBundle(1, 1_000));
    const status = await fleet.operator.readStatus();
    const {name} = splitIdentity(status.leader);
    const leader = fleet.findControl(name);
    generator = SessionLoadGenerator.create(
      `127.0.0.1:${leader.ready['port']}`,
    );
    await measureHosts(fleet, leader, generator);
    await measureEntries(leader, generator);
    await measureRollOut(fleet, generator);
    for (const control of fleet.controls.values()) {
      print(
        `${control.label}: ${readProcessUsage(control.pid).residentMb.toFixed(0)} MB`,
      );
    }
  } finally {
    generator?.close();
    await fleet.close();
  }
}

main().catch((error: Error) => {
  process.stderr.write(`bench: ${error.message}\n`);
  process.exitCode = 1;
});
