/**
 * One randomized run of the real programs before backend servers that are
 * processes of their own. Gateways and backend servers are killed, frozen and
 * stopped, and start again at the same address. What is checked, from what
 * callers see: no event of a stream is missing, comes twice or belongs to
 * another run or request, and a stream that looks complete has its last event.
 */
import {waitUntil} from '../support/wait_until';
import {checkStream} from './check_stream';
import {createRandom} from './create_random';
import {FaultLanes} from './fault_lanes';
import {listProcessFaults} from './list_process_faults';
import {saveLogs} from './save_logs';
import {SoakFleet} from './soak_fleet';
import {SoakOperator} from './soak_operator';
import {SoakProcess} from './soak_process';
import {StreamCall} from './stream_call';
import {StreamCallers} from './stream_callers';
import {StreamServer} from './stream_server';

const ENTRIES = 5;
const SERVERS = 6;
/** Series of faults at once. */
const SERVER_LANES = 3;
const ENTRY_LANES = 2;
/** Processes in a series of planned or unplanned restarts. */
const IN_TURN = 3;
const CALLER_SEEDS = 5_000_000;
const LANE_SEEDS = 6_000_000;
const LANES = SERVER_LANES + ENTRY_LANES + 1;
/** A response may end up to so long after what ended it. */
const END_MS = 300;

/** What one run is given. */
interface StreamRunOptions {
  readonly seed: number;
  /** How long faults come, in milliseconds. */
  readonly durationMs: number;
}

type Random = () => number;

/** A fleet, its backend servers and the callers of streams. */
export class StreamRun {
  /** Broken promises, each in a sentence. */
  readonly broken: string[] = [];
  /** How often each kind of fault showed, with what was done to the processes on the way. */
  readonly cases: Record<string, number> = {};
  /** Where the logs are, if something was broken. */
  logFile: string | undefined;
  private readonly callers: StreamCallers;
  private readonly operator: SoakOperator;
  private readonly lanes = FaultLanes.create();

  private constructor(
    private readonly options: StreamRunOptions,
    private readonly fleet: SoakFleet,
    private readonly servers: readonly StreamServer[],
  ) {
    const random = createRandom(CALLER_SEEDS + options.seed);
    const {entries} = fleet;
    this.callers = StreamCallers.create({entries, random});
    this.operator = SoakOperator.create(fleet);
  }

  /** Plays one run; the result names what was broken, if anything. */
  static async play(options: StreamRunOptions): Promise<StreamRun> {
    const {seed} = options;
    const fleet = await SoakFleet.create(seed, {entries: ENTRIES, backends: 0});
    const controls = fleet.controls.map(
      ({options: {ip, ports}}) => `${ip}:${ports.control}`,
    );
    const servers = await Promise.all(
      Array.from({length: SERVERS}, (_, at) =>
        StreamServer.create({
          label: `i${at}`,
          seed: seed * SERVERS + at,
          controls,
        }),
      ),
    );
    const run = new StreamRun(options, fleet, servers);
    try {
      await run.playAll();
    } catch (error) {
      run.broken.push((error as Error).message);
    } finally {
      await run.end();
    }
    return run;
  }

  /** Figures of the run. */
  describe() {
    const {callers, lanes, operator, broken, cases, logFile} = this;
    const statuses: Record<string, number> = {};
    for (const {reply} of callers.calls) {
      const key = reply.isWhole ? `${reply.status}` : `${reply.status} broken`;
      statuses[key] = (statuses[key] ?? 0) + 1;
    }
    const faults = Object.values(lanes.counts);
    const joined = callers.calls.filter(call => checkStream(call).runs > 1);
    return {
      seed: this.options.seed,
      statuses,
      complete: statuses['200'] ?? 0,
      /** Streams that a caller took up again, and answers that hold a second run. */
      resumedByCallers: callers.calls.filter(({after}) => after > 0).length,
      resumedByGateways: joined.length,
      acknowledged: operator.acknowledged,
      faults: faults.reduce((sum, count) => sum + count, 0),
      cases,
      sample: broken.slice(0, 2),
      broken: broken.length,
      logFile,
    };
  }

  private get processes(): readonly SoakProcess[] {
    return [...this.fleet.machines, ...this.servers];
  }

  private async playAll(): Promise<void> {
    const {fleet, servers, callers, operator, options} = this;
    await fleet.start();
    await waitUntil('the first bundle', () => operator.rollOut());
    await Promise.all(servers.map(server => server.start()));
    await this.waitForStreams('at the start');
    callers.start();
    operator.start();
    await this.lanes.inject(options.durationMs, this.listLanes());
    await Promise.all([callers.stop(), operator.stop()]);
    await this.waitForStreams('after all faults');
  }

  private async end(): Promise<void> {
    const {callers, operator, fleet, servers, broken, processes} = this;
    await Promise.all([callers.stop(), operator.stop()]);
    callers.calls.forEach(call => this.check(call));
    broken.push(
      ...operator.broken,
      ...processes.flatMap(({unexpectedEnd}) => unexpectedEnd ?? []),
    );
    await Promise.all(servers.map(server => server.close()));
    await fleet.close();
    this.logFile = saveLogs({
      name: `streams-${this.options.seed}`,
      broken,
      faults: this.lanes.lines,
      processes,
    });
  }

  /** Streams of each kind are complete at every entry. */
  private async waitForStreams(when: string): Promise<void> {
    const {fleet, callers} = this;
    await Promise.all(
      fleet.entries.map(async entry => {
        for (const route of StreamCallers.routes) {
          const what = `a stream on ${route} from ${entry.label} ${when}`;
          await waitUntil(what, () => callers.send(entry, route));
        }
      }),
    );
  }

  private listLanes() {
    const {controls, entries} = this.fleet;
    const lists = [
      ...Array.from({length: SERVER_LANES}, () => (random: Random) => ({
        ...listFaultsOfOne('backend server', this.servers, random),
        ...listFaultsInTurn('backend servers', this.servers, random),
      })),
      ...Array.from({length: ENTRY_LANES}, () => (random: Random) => ({
        ...listFaultsOfOne('entry', entries, random),
        ...listFaultsInTurn('entries', entries, random),
      })),
      (random: Random) => listFaultsOfOne('control', controls, random),
    ];
    const first = LANE_SEEDS + this.options.seed * LANES;
    return lists.map((list, at) => ({list, seed: first + at}));
  }

  private check(call: StreamCall): void {
    const {key, route, after, entry, reply} = call;
    const {faults, lastRun} = checkStream(call);
    for (const {kind, detail} of faults) {
      const around = this.describeDisturbances(call, lastRun?.name);
      const name = `${kind}, ${lastRun?.framing ?? 'without an event'}, ${around}`;
      this.cases[name] = (this.cases[name] ?? 0) + 1;
      const at = new Date(performance.timeOrigin + reply.endedAt).toISOString();
      this.broken.push(
        `${key} on ${route} behind event ${after} through ${entry.label} ${kind} at ${at} (${detail}); ${around}`,
      );
    }
  }

  /** What was done to the gateway and the backend server about when the response ended. */
  private describeDisturbances(call: StreamCall, run?: string): string {
    const {entry, reply} = call;
    const to = reply.endedAt;
    const servers = this.servers.filter(({label}) =>
      run === undefined ? true : run.startsWith(`${label}.`),
    );
    const describe = (what: string, processes: readonly SoakProcess[]) => {
      const done = processes.flatMap(each =>
        each.listDisturbances(to - END_MS, to),
      );
      return done.length > 0
        ? [`${what} ${[...new Set(done)].sort().join(' and ')}`]
        : [];
    };
    const one = run === undefined ? 'some backend server' : 'backend server';
    const all = [...describe('gateway', [entry]), ...describe(one, servers)];
    return all.length > 0 ? all.join(', ') : 'nothing done to either';
  }
}

function listFaultsOfOne(
  role: string,
  processes: readonly SoakProcess[],
  random: Random,
) {
  const process = FaultLanes.pick(processes, random);
  const durationMs = FaultLanes.drawMs(random);
  const {label} = process;
  return {
    ...listProcessFaults(role, process, durationMs),
    [`${role} ${label} restarted at once`]: () => process.restartKilled(0),
  };
}

/** The same for several processes, each after the one before has started again. */
function listFaultsInTurn(
  what: string,
  processes: readonly SoakProcess[],
  random: Random,
) {
  const first = Math.floor(random() * processes.length);
  const chosen = [...processes.slice(first), ...processes].slice(0, IN_TURN);
  const doInTurn = async (step: (process: SoakProcess) => Promise<void>) => {
    for (const process of chosen) {
      await step(process);
    }
  };
  return {
    [`${what} killed in turn`]: () =>
      doInTurn(process => process.restartKilled(0)),
    [`${what} stopped in turn`]: () =>
      doInTurn(process => process.restartStopped()),
  };
}
