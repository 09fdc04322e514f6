/**
 * Gateways, backend servers and callers on a virtual clock, with the real
 * containment, trials and table of suspects. Some requests end every backend server
 * that begins them; some backend servers end by themselves, in waves.
 */
import {EventRing} from '../../src/common/event_ring';
import {CrashDetector} from '../../src/gateway/crash_detector';
import {CrashContainment} from '../../src/gateway/crash_containment';
import {RequestIdentity} from '../../src/gateway/request_identity';
import {SuspectTrial} from '../../src/gateway/suspect_trial';
import {VirtualTime} from '../simulation/virtual_time';
import {SimulatedControl} from './simulated_control';
import {CrashFleetOptions} from './crash_fleet_options';
import {Flow, Gateway, Run, Server} from './crash_fleet_parts';
import {CrashFleetResult} from './crash_fleet_result';
import {installVirtualTimeouts} from './install_virtual_timeouts';

/** From an arrival at a backend server to its end, or to a first event. */
const ENDS_AFTER_MS = 60;
const FIRST_EVENT_MS = 150;
const BACK_AFTER_MS = 2_500;
const CHECK_MS = 20;

const MAX_RUNS = 3;

/**
 * Plays one fleet.
 *
 * @example
 * const {endedByMarked} = await playCrashes(options);
 */
export async function runCrashFleet(
  options: CrashFleetOptions,
): Promise<CrashFleetResult> {
  const time = VirtualTime.create();
  const restore = installVirtualTimeouts(time);
  try {
    return await new CrashFleet(time, options).run();
  } finally {
    restore();
  }
}

class CrashFleet {
  private readonly control: SimulatedControl;
  private readonly servers: Server[];
  private readonly gateways: Gateway[];
  private readonly ended: number[];
  private readonly delays: number[] = [];
  private starts = 0;
  private healthy = 0;
  private healthyRefused = 0;
  private sentAfterKnown = 0;

  constructor(
    private readonly time: VirtualTime,
    private readonly options: CrashFleetOptions,
  ) {
    this.control = SimulatedControl.create(time, options, () => this.gateways);
    this.ended = Array.from({length: options.marked}, () => 0);
    this.servers = Array.from({length: options.servers}, () => ({
      incarnation: this.nameStart(),
      isUp: true,
      running: new Set(),
    }));
    this.gateways = Array.from({length: options.gateways}, () => ({
      containment: this.createContainment(),
      isReady: true,
      flows: new Set(),
    }));
  }

  async run(): Promise<CrashFleetResult> {
    const {
      durationMs: forMs,
      losses,
      marked,
      killEveryMs,
      leaderLostEveryMs,
    } = this.options;
    this.repeatEvery(killEveryMs, () => this.killGateway());
    this.repeatEvery(leaderLostEveryMs, () => this.control.stopLeader());
    this.arrive();
    this.check();
    losses.forEach(({at, count}) =>
      this.time.after(at, () => this.loseServers(count)),
    );
    for (let at = 0; at < marked; at += 1) {
      this.time.after(1_000 + at * 300, () => this.repeatMarked(at));
    }
    await this.time.runUntil(forMs, () => false);
    this.gateways.forEach(({containment}) => containment.close());
    const knownAfterMs = this.control.listPropagationMs();
    return {
      crashesByPoisonRequest: this.ended,
      sentAfterVerdict: this.sentAfterKnown,
      propagationMs: knownAfterMs,
      healthy: this.healthy,
      healthyRejected: this.healthyRefused,
      retryDelaysMs: this.delays,
    };
  }

  private repeatEvery(everyMs: number | undefined, act: () => void): void {
    if (everyMs !== undefined) {
      const {random} = this.options;
      this.time.after(everyMs * (0.5 + random()), () => {
        act();
        this.repeatEvery(everyMs, act);
      });
    }
  }

  /** What it saw and did not tell yet is lost, and what it sent runs on without anybody who hears of its end. */
  private killGateway(): void {
    const {random} = this.options;
    const gateway = this.gateways[Math.floor(random() * this.gateways.length)];
    gateway.containment.close();
    gateway.flows.forEach(flow => (flow.isForgotten = true));
    gateway.flows.clear();
    gateway.containment = this.createContainment();
    gateway.isReady = false;
    this.control.sendSnapshot(gateway);
  }

  private nameStart(): string {
    this.starts += 1;
    return `s${this.starts}`;
  }

  private createContainment(): CrashContainment {
    return CrashContainment.create({
      detector: CrashDetector.create({
        clock: this.time,
        events: EventRing.create(10),
        probe: () => Promise.resolve('refuses'),
      }),
      calls: this.control.createCalls(),
      onEnded: () => undefined,
    });
  }

  private arrive(): void {
    const {random, perSecond} = this.options;
    this.time.after((-Math.log(1 - random()) * 1_000) / perSecond, () => {
      this.healthy += 1;
      this.begin(`healthy ${this.healthy}`, -1);
      this.arrive();
    });
  }

  private repeatMarked(marked: number): void {
    this.begin(`marked ${marked}`, marked);
    const {random, poisonRetryMs: repeatEveryMs} = this.options;
    const afterMs = repeatEveryMs * (0.5 + random());
    this.time.after(afterMs, () => this.repeatMarked(marked));
  }

  private begin(text: string, marked: number): void {
    const {random} = this.options;
    const ready = this.gateways.filter(({isReady}) => isReady);
    const gateway = ready[Math.floor(random() * ready.length)];
    if (!gateway) {
      return;
    }
    const identity = RequestIdentity.create({
      request: {host: 'h', method: 'POST', path: '/'},
      workspace: marked < 0 ? `w${this.healthy % 10}` : 'marked',
      body: Buffer.from(text),
    });
    const {containment} = gateway;
    const flow: Flow = {
      gateway,
      identity,
      isMarked: marked >= 0,
      marked,
      trial: SuspectTrial.create({containment, identity, clock: this.time}),
      tried: new Set(),
      isForgotten: false,
      runs: 0,
      run: undefined,
      brokeAt: undefined,
    };
    gateway.flows.add(flow);
    this.sendOn(flow);
  }

  private check(): void {
    this.time.after(CHECK_MS, () => {
      this.gateways.forEach(({flows}) =>
        flows.forEach(flow => this.checkFlow(flow)),
      );
      this.check();
    });
  }

  private checkFlow(flow: Flow): void {
    const standing = flow.gateway.containment.findStatus(flow.identity);
    if (standing === 'convicted' && !flow.run?.hasBegun) {
      this.healthyRefused += flow.isMarked ? 0 : 1;
      this.finish(flow);
      return;
    }
    if (!flow.trial.isWaiting) {
      return;
    }
    const step = flow.trial.check(this.time.now(), true, () => {
      const server = this.findServer(flow);
      return (
        server && {
          incarnation: server.incarnation,
          pool: 'p',
          address: 'a:1',
          zone: 'z',
          slots: 8,
        }
      );
    });
    if (step.kind === 'send') {
      const server = this.servers.find(
        ({incarnation}) => incarnation === step.target.incarnation,
      );
      this.sendTo(flow, server);
    } else if (step.kind === 'free') {
      this.sendOn(flow);
    } else if (step.kind === 'over') {
      this.finish(flow);
    }
  }

  private sendOn(flow: Flow): void {
    const {containment} = flow.gateway;
    if (containment.findStatus(flow.identity) !== 'free') {
      flow.trial.beginWaiting(this.time.now());
      this.checkFlow(flow);
      return;
    }
    this.sendTo(flow, this.findServer(flow));
  }

  private findServer({tried}: Flow): Server | undefined {
    const {random} = this.options;
    const fit = this.servers.filter(
      ({isUp, incarnation}) => isUp && !tried.has(incarnation),
    );
    const sorted = fit.sort((one, two) => one.running.size - two.running.size);
    return sorted[Math.floor((random() * sorted.length) / 2)];
  }

  private sendTo(flow: Flow, server: Server | undefined): void {
    if (!server?.isUp) {
      this.finish(flow);
      return;
    }
    const now = this.time.now();
    if (flow.brokeAt !== undefined && !flow.isMarked) {
      this.delays.push(now - flow.brokeAt);
    }
    if (flow.isMarked && this.control.fullyKnownAt.has(flow.identity.name)) {
      this.sentAfterKnown += 1;
    }
    flow.tried.add(server.incarnation);
    const run = {flow, server, hasBegun: false};
    flow.run = run;
    server.running.add(run);
    if (flow.isMarked) {
      this.time.after(ENDS_AFTER_MS, () => this.endUnder(run));
      return;
    }
    this.time.after(FIRST_EVENT_MS, () => {
      if (flow.run === run) {
        run.hasBegun = true;
        flow.trial.recordResponseStart();
      }
    });
    this.time.after(this.options.streamMs, () => {
      if (flow.run === run) {
        server.running.delete(run);
        flow.trial.recordCompletion();
        this.finish(flow);
      }
    });
  }

  private endUnder(run: Run): void {
    if (run.flow.run === run) {
      this.ended[run.flow.marked] += 1;
      this.endServer(run.server);
    }
  }

  private loseServers(count: number): void {
    const {random} = this.options;
    for (let at = 0; at < count; at += 1) {
      const up = this.servers.filter(({isUp}) => isUp);
      const lost = up[Math.floor(random() * up.length)];
      if (lost) {
        this.time.after(random() * 100, () => this.endServer(lost));
      }
    }
  }

  private endServer(server: Server): void {
    if (!server.isUp) {
      return;
    }
    server.isUp = false;
    const runs = [...server.running];
    server.running.clear();
    const {incarnation} = server;
    runs.forEach(run => void this.handleBreak(run, incarnation));
    this.time.after(BACK_AFTER_MS, () => {
      server.incarnation = this.nameStart();
      server.isUp = true;
    });
  }

  private async handleBreak(
    {flow, hasBegun}: Run,
    incarnation: string,
  ): Promise<void> {
    if (flow.isForgotten) {
      return;
    }
    const now = this.time.now();
    flow.run = undefined;
    flow.runs += 1;
    flow.trial.end();
    flow.trial.recordConnectionLoss(now);
    flow.brokeAt = hasBegun ? undefined : now;
    const target = {incarnation, address: 'a:1'};
    const {name} = flow.identity;
    const judged = flow.gateway.containment.recordConnectionLoss({
      target,
      name,
      hasResponseStarted: hasBegun,
    });
    if (!hasBegun) {
      await judged;
    }
    if (flow.runs < MAX_RUNS) {
      this.sendOn(flow);
    } else {
      this.finish(flow);
    }
  }

  private finish(flow: Flow): void {
    flow.run?.server.running.delete(flow.run);
    flow.run = undefined;
    flow.trial.end();
    flow.gateway.flows.delete(flow);
  }
}
