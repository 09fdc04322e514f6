/**
 * Compares requests through the entry and host processes with direct requests to
 * the same stand-in: added latency of the first token and between tokens, tokens
 * and requests per second through one entry, and resident memory.
 */
import * as http from 'node:http';
import {cpus} from 'node:os';
import {ManagedProcess} from '../test/support/managed_process';
import {startBenchFleet} from './start_bench_fleet';
import {readProcessUsage} from './read_process_usage';
import {timeStream} from './time_stream';
import {summarize} from './summarize';

const REPLICAS = 3;
const LATENCY_ROUNDS = 150;
/** Pause between the requests to an idle entry, long enough for processors and caches to go cold. */
const IDLE_PAUSE_MS = 20;
const GAP_ROUNDS = 40;
const WARM_UP_STREAMS = 9_000;
const GAP_TOKENS = 25;
const TOKEN_MS = 20;
const LOADED_STREAMS = [200, 400, 600];
const LOADED_TOKENS = 200;
const REQUESTS = 6_000;
const REQUEST_CONCURRENCY = 32;
const ONCE_REQUESTS = 1_000;
const MS_PER_SECOND = 1_000;

type Fleet = Awaited<ReturnType<typeof startBenchFleet>>;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function round(value: number, digits = 2): string {
  return value.toFixed(digits);
}

/** Alternates between both paths, so that other load of the machine affects both alike. */
async function measureBothPaths(
  {fleet, key, standIns}: Fleet,
  options: {rounds: number; tokens: number; pauseMs: number},
): Promise<Record<'direct' | 'routed', {firsts: number[]; gaps: number[]}>> {
  const agent = new http.Agent({keepAlive: true});
  const paths = {
    direct: {
      url: String(standIns[0].ready['url']),
      firsts: [] as number[],
      gaps: [] as number[],
    },
    routed: {
      url: fleet.getEntryUrl(),
      firsts: [] as number[],
      gaps: [] as number[],
    },
  };
  const {rounds, tokens, pauseMs} = options;
  for (let at = 0; at < rounds; at += 1) {
    for (const route of [paths.direct, paths.routed]) {
      const times = await timeStream({
        url: route.url,
        key,
        model: 'assistant',
        tokens,
        agent,
      });
      route.firsts.push(times.firstTokenMs);
      route.gaps.push(...times.gapsMs);
      await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
  }
  agent.destroy();
  return paths;
}

function reportOverhead(
  title: string,
  direct: readonly number[],
  routed: readonly number[],
): void {
  const [directTimes, routedTimes] = [summarize(direct), summarize(routed)];
  print(
    `${title}: direct median ${round(directTimes.median, 3)} p99 ${round(directTimes.p99, 3)} ms, ` +
      `routed median ${round(routedTimes.median, 3)} p99 ${round(routedTimes.p99, 3)} ms, ` +
      `added median ${round(routedTimes.median - directTimes.median, 3)} p99 ${round(routedTimes.p99 - directTimes.p99, 3)} ms ` +
      `(${routedTimes.count} samples)`,
  );
}

async function measureLatency(fleet: Fleet): Promise<void> {
  for (const pauseMs of [0, IDLE_PAUSE_MS]) {
    const paths = await measureBothPaths(fleet, {
      rounds: LATENCY_ROUNDS,
      tokens: 1,
      pauseMs,
    });
    const when = pauseMs === 0 ? 'back to back' : `${pauseMs} ms apart`;
    reportOverhead(
      `first token, requests ${when}`,
      paths.direct.firsts,
      paths.routed.firsts,
    );
  }
  const paths = await measureBothPaths(fleet, {
    rounds: GAP_ROUNDS,
    tokens: GAP_TOKENS,
    pauseMs: 0,
  });
  reportOverhead('between tokens', paths.direct.gaps, paths.routed.gaps);
}

/** Runs the code until it is compiled and optimised, as in a busy entry; cold code is several times slower. */
async function warmUp({fleet, key, standIns}: Fleet): Promise<void> {
  const agent = new http.Agent({keepAlive: true, maxSockets: 20});
  const streamOptions = {model: 'assistant', tokens: 1, agent, key};
  await Promise.all(
    Array.from({length: WARM_UP_STREAMS}, () =>
      timeStream({...streamOptions, url: fleet.getEntryUrl()}),
    ),
  );
  await Promise.all(
    standIns
      .slice(0, REPLICAS)
      .flatMap(standIn =>
        Array.from({length: WARM_UP_STREAMS / REPLICAS}, () =>
          timeStream({...streamOptions, url: String(standIn.ready['url'])}),
        ),
      ),
  );
  agent.destroy();
}

async function measureTokens({fleet, key}: Fleet): Promise<void> {
  const entry = fleet.findEntry('entry-1');
  const hosts = [...fleet.hosts.values()].slice(0, REPLICAS);
  for (const streams of LOADED_STREAMS) {
    const agent = new http.Agent({keepAlive: true, maxSockets: streams});
    const before = [entry, ...hosts].map(
      ({pid}) => readProcessUsage(pid).cpuSeconds,
    );
    const startedAt = performance.now();
    const streamTimes = await Promise.all(
      Array.from({length: streams}, () =>
        timeStream({
          url: fleet.getEntryUrl(),
          key,
          model: 'assistant',
          tokens: LOADED_TOKENS,
          agent,
        }),
      ),
    );
    const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
    const after = [entry, ...hosts].map(
      ({pid}) => readProcessUsage(pid).cpuSeconds,
    );
    const cpu = after.map((value, at) => value - before[at]);
    const tokens = streamTimes.reduce((sum, times) => sum + times.tokens, 0);
    const gaps = summarize(streamTimes.flatMap(times => times.gapsMs));
    agent.destroy();
    print(
      `${streams} streams: ${Math.round(tokens / seconds)} tokens/s, ` +
        `gap median ${round(gaps.median)} p99 ${round(gaps.p99)} ms, ` +
        `whole ${streamTimes.filter(times => times.isWhole).length} of ${streams}, ` +
        `entry ${round((cpu[0] / seconds) * 100, 0)}% of a core = ${Math.round(tokens / cpu[0])} tokens per core second, ` +
        `hosts ${Math.round(tokens / (cpu[1] + cpu[2] + cpu[3]))} tokens per core second`,
    );
  }
}

async function measureRequests(
  {fleet, key}: Fleet,
  path: string,
  total: number,
): Promise<void> {
  const agent = new http.Agent({
    keepAlive: true,
    maxSockets: REQUEST_CONCURRENCY,
  });
  const entry = fleet.findEntry('entry-1');
  const latencies: number[] = [];
  let sent = 0;
  let answered = 0;
  const cpuBefore = readProcessUsage(entry.pid).cpuSeconds;
  const startedAt = performance.now();
  const runWorker = async () => {
    while (sent < total) {
      sent += 1;
      const sentAt = performance.now();
      const status = await post(
        `${fleet.getEntryUrl()}/services/dispatch${path}`,
        key,
        agent,
      );
      latencies.push(performance.now() - sentAt);
      answered += status === 200 ? 1 : 0;
    }
  };
  await Promise.all(Array.from({length: REQUEST_CONCURRENCY}, runWorker));
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const cpu = readProcessUsage(entry.pid).cpuSeconds - cpuBefore;
  agent.destroy();
  const {median, p99} = summarize(latencies);
  print(
    `service ${path}: ${Math.round(total / seconds)} requests/s, ${answered} of ${total} answered, ` +
      `median ${round(median)} p99 ${round(p99)} ms at ${REQUEST_CONCURRENCY} at once, ` +
      `entry ${Math.round(total / cpu)} requests per core second`,
  );
}

function post(url: string, key: string, agent: http.Agent): Promise<number> {
  return new Promise((resolve, reject) => {
    const headers = {authorization: `Bearer ${key}`, 'content-length': 4};
    const request = http.request(
      url,
      {method: 'POST', agent, headers},
      response => {
        response.resume().on('end', () => resolve(response.statusCode ?? 0));
      },
    );
    request.on('error', reject);
    request.end('body');
  });
}

function reportMemory(fleet: Fleet, when: string): void {
  const groups: Array<[string, Iterable<ManagedProcess>]> = [
    ['entry', fleet.fleet.entries.values()],
    ['host', fleet.fleet.hosts.values()],
    ['control', fleet.fleet.controls.values()],
  ];
  const parts = groups.map(([name, processes]) => {
    const sizes = [...processes].map(
      ({pid}) => readProcessUsage(pid).residentMb,
    );
    return `${name} ${sizes.map(size => Math.round(size)).join(' ')}`;
  });
  print(`memory ${when}, MB resident: ${parts.join('; ')}`);
}

async function main(): Promise<void> {
  print(
    `node ${process.version}, ${cpus().length} cores, ${new Date().toISOString().slice(0, 10)}`,
  );
  const fleet = await startBenchFleet({
    replicas: REPLICAS,
    services: 1,
    tokenMs: TOKEN_MS,
  });
  try {
    reportMemory(fleet, 'idle');
    await warmUp(fleet);
    await measureLatency(fleet);
    await measureRequests(fleet, '/any', REQUESTS);
    await measureRequests(fleet, '/once', ONCE_REQUESTS);
    await measureTokens(fleet);
    reportMemory(fleet, 'loaded');
  } finally {
    await fleet.close();
  }
}

main().catch((error: Error) => {
  process.stderr.write(`bench: ${error.message}\n`);
  process.exitCode = 1;
});
