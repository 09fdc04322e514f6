/** Starts a fleet whose stand-in backend servers run in processes of their own, so that their load falls on no measured process. */
import {Bundle} from '../src/protocol/bundle';
import {computeDigest} from '../src/protocol/compute_digest';
import {ManagedProcess} from '../test/support/managed_process';
import {TestFleet} from '../test/support/test_fleet';

/** API key of the only workspace. */
const BENCH_KEY = 'bench-key';

/** A running fleet and the processes of its stand-ins. */
interface BenchFleet {
  readonly fleet: TestFleet;
  readonly key: string;
  readonly standIns: readonly ManagedProcess[];
  readonly close: () => Promise<void>;
}

/** Size of the fleet and speed of its stand-ins. */
interface BenchFleetOptions {
  readonly replicas: number;
  readonly services: number;
  /** Milliseconds between two tokens of a stand-in. */
  readonly tokenMs: number;
}

/** Starts a fleet of single-host replicas and waits until all groups serve and the entry is ready. */
export async function startBenchFleet(
  options: BenchFleetOptions,
): Promise<BenchFleet> {
  const {replicas, services, tokenMs} = options;
  const plans = [
    ...Array.from({length: replicas}, (_, at) => ({
      hostId: `model-${at + 1}`,
      domain: `domain-${at + 1}`,
      kind: 'model' as const,
      name: 'assistant',
      hasOwnStandIn: true,
    })),
    ...Array.from({length: services}, (_, at) => ({
      hostId: `service-${at + 1}`,
      domain: 'domain-services',
      kind: 'service' as const,
      name: 'dispatch',
      hasOwnStandIn: true,
    })),
  ];
  const fleet = await TestFleet.create({hosts: plans});
  const standIns = await Promise.all(
    plans.map(({hostId, kind, name}) =>
      ManagedProcess.create({
        label: `stand-in ${hostId}`,
        script: 'test/stand_ins/run.js',
        args: [
          kind,
          name,
          `127.0.0.1:${fleet.findHost(hostId).ready['announcePort']}`,
          String(tokenMs),
        ],
      }),
    ),
  );
  const bundle = Bundle.parse({
    operator: 'bench',
    version: 1,
    models: [{name: 'assistant', replicas, hostsPerReplica: 1}],
    services: [
      {
        name: 'dispatch',
        replicas: services,
        notRepeatable: [{method: 'POST', pathPrefix: '/once'}],
      },
    ],
    workspaces: [
      {
        name: 'bench',
        keyHashes: [computeDigest(BENCH_KEY)],
        maxInFlight: 100_000,
      },
    ],
  });
  await fleet.rollOut(bundle);
  await fleet.waitForServing(replicas + services);
  await fleet.waitForReady();
  const close = async () => {
    await Promise.all(standIns.map(standIn => standIn.kill()));
    await fleet.close();
  };
  return {fleet, key: BENCH_KEY, standIns, close};
}
