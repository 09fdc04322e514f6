/**
 * Measures the path through entry and host process against a direct call to
 * the same stand-in, in one run: what it adds to the first token and between
 * tokens, tokens and requests a second through one entry, and memory.
 */
import * as http from 'node:http';
import {cpus} from 'node:os';
import {ManagedProcess} from '../test/support/managed_process';
import {startBenchFleet} from './bench_fleet';
import {readProcessUsage} from './process_usage';
import {timeStream} from './stream_client';
import {summarize} from './summarize';

const REPLICAS = 3;
const LATENCY_ROUNDS = 150;
/** Between requests of a quiet entry: processors and caches have gone cold. */
const PAUSE_MS = 20;
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

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

function round(value: number, digits = 2): string {
  return value.toFixed(digits);
}

/** Sends the same requests both ways in turn, so that both see the same machine. */
async function compareWays(
  {fleet, key, standIns}: Fleet,
  options: {rounds: number; tokens: number; pauseMs: number},
): Promise<Record<'direct' | 'routed', {firsts: number[]; gaps: number[]}>> {
  const agent = new http.Agent({keepAlive: true});
  const ways = {
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
    for (const way of [ways.direct, ways.routed]) {
      const times = await timeStream({
        url: way.url,
        key,
        model: 'assistant',
        tokens,
        agent,
      });
      way.firsts.push(times.firstTokenMs);
      way.gaps.push(...times.gapsMs);
      await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
  }
  agent.destroy();
  return ways;
}

function reportAdded(
  what: string,
  direct: readonly number[],
  routed: readonly number[],
): void {
  const [without, with_] = [summarize(direct), summarize(routed)];
  say(
    `${what}: direct median ${round(without.median, 3)} p99 ${round(without.p99, 3)} ms, ` +
      `routed median ${round(with_.median, 3)} p99 ${round(with_.p99, 3)} ms, ` +
      `added median ${round(with_.median - without.median, 3)} p99 ${round(with_.p99 - without.p99, 3)} ms ` +
      `(${with_.count} samples)`,
  );
}

async function measureLatency(fleet: Fleet): Promise<void> {
  for (const pauseMs of [0, PAUSE_MS]) {
    const ways = await compareWays(fleet, {
      rounds: LATENCY_ROUNDS,
      tokens: 1,
      pauseMs,
    });
    const when = pauseMs === 0 ? 'back to back' : `${pauseMs} ms apart`;
    reportAdded(
      `first token, requests ${when}`,
      ways.direct.firsts,
      ways.routed.firsts,
    );
  }
  const ways = await compareWays(fleet, {
    rounds: GAP_ROUNDS,
    tokens: GAP_TOKENS,
    pauseMs: 0,
  });
  reportAdded('between tokens', ways.direct.gaps, ways.routed.gaps);
}

/** Code that never ran is several times slower; a busy entry has run it long ago. */
async function warmUp({fleet, key, standIns}: Fleet): Promise<void> {
  const agent = new http.Agent({keepAlive: true, maxSockets: 20});
  const common = {model: 'assistant', tokens: 1, agent, key};
  await Promise.all(
    Array.from({length: WARM_UP_STREAMS}, () =>
      timeStream({...common, url: fleet.getEntryUrl()}),
    ),
  );
  await Promise.all(
    standIns
      .slice(0, REPLICAS)
      .flatMap(standIn =>
        Array.from({length: WARM_UP_STREAMS / REPLICAS}, () =>
          timeStream({...common, url: String(standIn.ready['url'])}),
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
    const all = await Promise.all(
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
    const tokens = all.reduce((sum, times) => sum + times.tokens, 0);
    const gaps = summarize(all.flatMap(times => times.gapsMs));
    agent.destroy();
    say(
      `${streams} streams: ${Math.round(tokens / seconds)} tokens/s, ` +
        `gap median ${round(gaps.median)} p99 ${round(gaps.p99)} ms, ` +
        `whole ${all.filter(times => times.isWhole).length} of ${streams}, ` +
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
  const work = async () => {
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
  await Promise.all(Array.from({length: REQUEST_CONCURRENCY}, work));
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const cpu = readProcessUsage(entry.pid).cpuSeconds - cpuBefore;
  agent.destroy();
  const {median, p99} = summarize(latencies);
  say(
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
  say(`memory ${when}, MB resident: ${parts.join('; ')}`);
}

async function main(): Promise<void> {
  say(
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
