/**
 * Simulates gateways, backend servers and callers on a virtual clock around the real
 * crash containment, suspect trials and suspect table. Poison requests crash every
 * backend server that runs them; other backend servers crash on their own, in waves.
 */
import {EventRing} from '../../src/common/event_ring';
import {ServerAddress} from '../../src/common/server_address';
import {CrashDetector} from '../../src/gateway/crashes/crash_detector';
import {CrashContainment} from '../../src/gateway/crashes/crash_containment';
import {RequestIdentity} from '../../src/gateway/crashes/request_identity';
import {createSuspectTrial} from './create_suspect_trial';
import {VirtualTime} from '../simulation/virtual_time';
import {SimulatedControl} from './simulated_control';
import {CrashFleetOptions} from './crash_fleet_options';
import {SimulatedRequest, Gateway, Attempt, Backend} from './crash_fleet_parts';
import {CrashFleetResult} from './crash_fleet_result';
import {installVirtualTimeouts} from './install_virtual_timeouts';

/** Time from a request's arrival at a backend server to the crash, or to the first event. */
const CRASH_DELAY_MS = 60;
const FIRST_EVENT_MS = 150;
const RESTART_DELAY_MS = 2_500;
const CHECK_MS = 20;

const MAX_LOST_ATTEMPTS = 3;

/**
 * Runs one simulation and returns its measurements.
 *
 * @example
 * const {crashesByPoisonRequest} = await runCrashFleet(options);
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
  private readonly backends: Backend[];
  private readonly gateways: Gateway[];
  private readonly crashesByRequest: number[];
  private readonly retryDelaysMs: number[] = [];
  private startCount = 0;
  private healthyCount = 0;
  private healthyRejected = 0;
  private sentAfterVerdict = 0;
  private begunAtFirstAttempt = 0;
  private markedCount = 0;

  constructor(
    private readonly time: VirtualTime,
    private readonly options: CrashFleetOptions,
  ) {
    this.control = SimulatedControl.create(time, options, () => this.gateways);
    this.crashesByRequest = Array.from({length: options.marked}, () => 0);
    this.backends = Array.from({length: options.servers}, () => ({
      incarnation: this.createIncarnation(),
      isUp: true,
      running: new Set(),
    }));
    this.gateways = Array.from({length: options.gateways}, () => ({
      containment: this.createContainment(),
      isReady: true,
      requests: new Set(),
    }));
  }

  async run(): Promise<CrashFleetResult> {
    const {durationMs, losses, marked, killEveryMs, leaderLostEveryMs} =
      this.options;
    this.repeatEvery(killEveryMs, () => this.killGateway());
    this.repeatEvery(leaderLostEveryMs, () => this.control.stopLeader());
    this.scheduleArrival();
    this.scheduleCheck();
    losses.forEach(({at, count}) =>
      this.time.after(at, () => this.failBackends(count)),
    );
    for (let at = 0; at < marked; at += 1) {
      this.time.after(1_000 + at * 300, () => this.repeatPoisonRequest(at));
    }
    await this.time.runUntil(durationMs, () => false);
    this.gateways.forEach(({containment}) => containment.close());
    const propagationMs = this.control.listPropagationMs();
    return {
      crashesByPoisonRequest: this.crashesByRequest,
      sentAfterVerdict: this.sentAfterVerdict,
      propagationMs,
      healthy: this.healthyCount,
      healthyRejected: this.healthyRejected,
      begunAtFirstAttempt: this.begunAtFirstAttempt / this.healthyCount,
      retryDelaysMs: this.retryDelaysMs,
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

  /** Restarts a gateway: its unreported observations are lost, and its attempts go on without anybody watching them. */
  private killGateway(): void {
    const {random} = this.options;
    const gateway = this.gateways[Math.floor(random() * this.gateways.length)];
    gateway.containment.close();
    gateway.requests.forEach(request => (request.isAbandoned = true));
    gateway.requests.clear();
    gateway.containment = this.createContainment();
    gateway.isReady = false;
    this.control.sendSnapshot(gateway);
  }

  private createIncarnation(): string {
    this.startCount += 1;
    return `s${this.startCount}`;
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

  private scheduleArrival(): void {
    const {random, perSecond} = this.options;
    this.time.after((-Math.log(1 - random()) * 1_000) / perSecond, () => {
      this.healthyCount += 1;
      this.startRequest(`healthy ${this.healthyCount}`, -1);
      this.scheduleArrival();
    });
  }

  private repeatPoisonRequest(marked: number): void {
    const {random, poisonRetryMs, parts, poisonUntilMs} = this.options;
    if (this.time.now() > (poisonUntilMs ?? Infinity)) {
      return;
    }
    this.markedCount += 1;
    const copy = parts ? ` ${this.markedCount}` : '';
    this.startRequest(`marked ${marked}${copy}`, marked);
    const afterMs = poisonRetryMs * (0.5 + random());
    this.time.after(afterMs, () => this.repeatPoisonRequest(marked));
  }

  private startRequest(text: string, marked: number): void {
    const {random, parts} = this.options;
    const ready = this.gateways.filter(({isReady}) => isReady);
    const gateway = ready[Math.floor(random() * ready.length)];
    if (!gateway) {
      return;
    }
    const isOfMany = marked < 0 || parts !== undefined;
    const identity = RequestIdentity.create({
      request: {
        host: 'h',
        method: 'POST',
        path: '/',
        model: 'm',
        promptParts:
          marked < 0
            ? parts?.ofHealthy(this.healthyCount)
            : parts?.ofMarked(marked),
      },
      workspace: isOfMany ? `w${this.healthyCount % 10}` : 'marked',
      body: Buffer.from(text),
    });
    const {containment} = gateway;
    const request: SimulatedRequest = {
      gateway,
      identity,
      isPoison: marked >= 0,
      poisonIndex: marked,
      trial: createSuspectTrial({containment, identity, clock: this.time}),
      triedBackends: new Set(),
      isAbandoned: false,
      lostAttempts: 0,
      attempt: undefined,
      connectionLostAt: undefined,
    };
    gateway.requests.add(request);
    this.sendOrWait(request);
  }

  private scheduleCheck(): void {
    this.time.after(CHECK_MS, () => {
      this.gateways.forEach(({requests}) =>
        requests.forEach(request => this.checkRequest(request)),
      );
      this.scheduleCheck();
    });
  }

  private checkRequest(request: SimulatedRequest): void {
    const status = request.gateway.containment.findStatus(request.identity);
    if (status === 'convicted' && !request.attempt?.hasResponseStarted) {
      this.healthyRejected += request.isPoison ? 0 : 1;
      this.finish(request);
      return;
    }
    if (!request.trial.isWaiting) {
      return;
    }
    const step = request.trial.check(this.time.now(), true, () => {
      const backend = this.chooseBackend(request);
      return (
        backend && {
          incarnation: backend.incarnation,
          pool: 'p',
          address: ServerAddress.parse('a:1'),
          zone: 'z',
          slots: 8,
        }
      );
    });
    if (step.kind === 'send') {
      const backend = this.backends.find(
        ({incarnation}) => incarnation === step.target.incarnation,
      );
      this.sendTo(request, backend);
    } else if (step.kind === 'free') {
      this.sendOrWait(request);
    } else if (step.kind === 'over') {
      this.finish(request);
    }
  }

  private sendOrWait(request: SimulatedRequest): void {
    const {containment} = request.gateway;
    if (containment.findStatus(request.identity) !== 'free') {
      request.trial.beginWaiting(this.time.now());
      this.checkRequest(request);
      return;
    }
    this.sendTo(request, this.chooseBackend(request));
  }

  private chooseBackend({
    triedBackends,
  }: SimulatedRequest): Backend | undefined {
    const {random} = this.options;
    const fit = this.backends.filter(
      ({isUp, incarnation}) => isUp && !triedBackends.has(incarnation),
    );
    const sorted = fit.sort((one, two) => one.running.size - two.running.size);
    return sorted[Math.floor((random() * sorted.length) / 2)];
  }

  private sendTo(
    request: SimulatedRequest,
    backend: Backend | undefined,
  ): void {
    if (!backend?.isUp) {
      this.finish(request);
      return;
    }
    const now = this.time.now();
    if (request.connectionLostAt !== undefined && !request.isPoison) {
      this.retryDelaysMs.push(now - request.connectionLostAt);
    }
    if (request.isPoison && this.control.isKnownToAll(request.identity)) {
      this.sentAfterVerdict += 1;
    }
    request.triedBackends.add(backend.incarnation);
    const attempt = {
      request,
      backend,
      hasResponseStarted: false,
    };
    request.attempt = attempt;
    backend.running.add(attempt);
    if (request.isPoison) {
      const {crashDelayMs = CRASH_DELAY_MS} = this.options;
      this.time.after(crashDelayMs, () => this.crashBackend(attempt));
      return;
    }
    this.time.after(FIRST_EVENT_MS, () => {
      if (request.attempt === attempt) {
        attempt.hasResponseStarted = true;
        this.begunAtFirstAttempt += request.lostAttempts === 0 ? 1 : 0;
        request.trial.recordResponseStart();
        request.gateway.containment.recordBegun(request.identity);
      }
    });
    this.time.after(this.options.streamMs, () => {
      if (request.attempt === attempt) {
        backend.running.delete(attempt);
        request.trial.recordCompletion();
        this.finish(request);
      }
    });
  }

  private crashBackend(attempt: Attempt): void {
    if (attempt.request.attempt === attempt) {
      this.crashesByRequest[attempt.request.poisonIndex] += 1;
      this.endBackend(attempt.backend);
    }
  }

  private failBackends(count: number): void {
    const {random} = this.options;
    for (let at = 0; at < count; at += 1) {
      const up = this.backends.filter(({isUp}) => isUp);
      const lost = up[Math.floor(random() * up.length)];
      if (lost) {
        this.time.after(random() * 100, () => this.endBackend(lost));
      }
    }
  }

  private endBackend(backend: Backend): void {
    if (!backend.isUp) {
      return;
    }
    backend.isUp = false;
    const runs = [...backend.running];
    backend.running.clear();
    const {incarnation} = backend;
    runs.forEach(
      attempt => void this.handleConnectionLoss(attempt, incarnation),
    );
    this.time.after(RESTART_DELAY_MS, () => {
      backend.incarnation = this.createIncarnation();
      backend.isUp = true;
    });
  }

  private async handleConnectionLoss(
    {request, hasResponseStarted}: Attempt,
    incarnation: string,
  ): Promise<void> {
    if (request.isAbandoned) {
      return;
    }
    const now = this.time.now();
    request.attempt = undefined;
    request.lostAttempts += 1;
    request.trial.end();
    request.trial.recordConnectionLoss(now);
    request.connectionLostAt = hasResponseStarted ? undefined : now;
    const target = {incarnation, address: ServerAddress.parse('a:1')};
    const {name, parts} = request.identity;
    const judged = request.gateway.containment.recordConnectionLoss({
      target,
      name,
      parts,
      hasResponseStarted,
    });
    if (!hasResponseStarted) {
      await judged;
    }
    if (request.lostAttempts < MAX_LOST_ATTEMPTS) {
      this.sendOrWait(request);
    } else {
      this.finish(request);
    }
  }

  private finish(request: SimulatedRequest): void {
    request.attempt?.backend.running.delete(request.attempt);
    request.attempt = undefined;
    request.trial.end();
    request.gateway.requests.delete(request);
  }
}
