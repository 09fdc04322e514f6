/**
 * Simulates the retry budgets of many gateways whose callers would take any retry. The budgets
 * are the real ones; the network and control are simulated.
 */
import {RetryBudget} from '../../src/gateway/retries/retry_budget';
import {VirtualTime} from '../simulation/virtual_time';
import {RetryLedger} from './retry_ledger';

/** Interval at which requests arrive and retries are attempted. */
const STEP_MS = 25;
const POLL_INTERVAL_MS = 250;
/** Silence after which control no longer counts a gateway. */
const GATEWAY_TIMEOUT_MS = 3_000;
/** Longest time from a caller to its gateway, and from a gateway to the pool. */
const MAX_DELAY_MS = 50;
/** More than a gateway could ever send in one step. */
const MAX_RETRIES_PER_STEP = 500;

/** Sizes and load of a simulation. */
interface RetrySimulationOptions {
  readonly gateways: number;
  readonly limits: {ratio: number; windowMs: number; slack: number};
  /** Requests per second at a gateway, at a time. */
  readonly demandAt: (at: number, gateway: number) => number;
  /** Whether a gateway's callers want retries, at a time; always by default. */
  readonly wantsRetries?: (at: number, gateway: number) => boolean;
  /** Uniform in [0, 1), seeded. */
  readonly random: () => number;
}

class SimulatedGateway {
  budget: RetryBudget;
  gatewayCount = 1;
  isRunning = true;
  isCutOff = false;
  pausedUntil = -Infinity;
  /** Total time of suspensions, which the monotonic clock does not count. */
  suspendedMs = 0;
  private polledAt = -Infinity;

  constructor(
    readonly index: number,
    private readonly simulation: RetrySimulation,
  ) {
    this.budget = this.createBudget();
  }

  restart(): void {
    this.gatewayCount = 1;
    this.polledAt = -Infinity;
    this.budget = this.createBudget();
  }

  poll(): void {
    const {simulation} = this;
    const now = simulation.time.now();
    if (this.isCutOff || now - this.polledAt < POLL_INTERVAL_MS) {
      return;
    }
    this.polledAt = now;
    this.gatewayCount = simulation.countGateways(this) ?? this.gatewayCount;
  }

  private createBudget(): RetryBudget {
    const {simulation} = this;
    const clock = {now: () => simulation.time.now() - this.suspendedMs};
    return RetryBudget.create(
      simulation.options.limits,
      clock,
      () => this.gatewayCount,
    );
  }
}

/** Runs one simulation. */
export class RetrySimulation {
  readonly time = VirtualTime.create();
  readonly ledger = new RetryLedger();
  readonly gateways: SimulatedGateway[] = [];
  /** When each gateway last polled the leader; undefined while there is none. */
  private polls: Map<number, number> | undefined = new Map();

  private constructor(readonly options: RetrySimulationOptions) {
    this.addGateways(options.gateways);
  }

  static create(options: RetrySimulationOptions): RetrySimulation {
    return new RetrySimulation(options);
  }

  async run(untilMs: number): Promise<void> {
    while (this.time.now() < untilMs) {
      await this.time.runUntil(this.time.now() + STEP_MS, () => false);
      this.gateways.forEach(gateway => this.advance(gateway));
      // Lets answers of control be handled before the next step.
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  /** Repeats an action at this interval, from the first interval on. */
  repeat(everyMs: number, act: () => void): void {
    this.time.after(everyMs, () => {
      act();
      this.repeat(everyMs, act);
    });
  }

  /** Restarts all gateways. */
  restartAll(): void {
    this.gateways.forEach(gateway => gateway.restart());
  }

  /** Removes the leader; another one, which knows no gateways, takes over after this time. */
  changeLeader(withoutMs: number): void {
    this.polls = undefined;
    this.time.after(withoutMs, () => (this.polls = new Map()));
  }

  /** Cuts a gateway off from control for a time. */
  cutOff(gateway: number, ms: number): void {
    const cut = this.gateways[gateway];
    cut.isCutOff = true;
    this.time.after(ms, () => (cut.isCutOff = false));
  }

  /** Suspends a gateway's machine, whose monotonic clock does not count the time. */
  suspend(gateway: number, ms: number): void {
    const suspended = this.gateways[gateway];
    suspended.pausedUntil = this.time.now() + ms;
    suspended.suspendedMs += ms;
  }

  addGateways(count: number): void {
    for (let added = 0; added < count; added += 1) {
      this.gateways.push(new SimulatedGateway(this.gateways.length, this));
    }
  }

  removeGateway(gateway: number): void {
    this.gateways[gateway].isRunning = false;
  }

  /** The number of gateways that the leader tells this one; undefined without a leader. */
  countGateways(gateway: SimulatedGateway): number | undefined {
    const {polls} = this;
    const now = this.time.now();
    polls?.set(gateway.index, now);
    polls?.forEach((at, index) => {
      if (now - at > GATEWAY_TIMEOUT_MS) {
        polls.delete(index);
      }
    });
    return polls?.size;
  }

  /** The part of the budget that was used in the fullest window. */
  measureUse(): number {
    const {limits} = this.options;
    const {retries, allowed} = this.ledger.findFullestWindow(limits);
    return retries / allowed;
  }

  private advance(gateway: SimulatedGateway): void {
    const now = this.time.now();
    if (!gateway.isRunning || now < gateway.pausedUntil) {
      return;
    }
    gateway.poll();
    const {demandAt, wantsRetries = () => true, random} = this.options;
    const expected = (demandAt(now, gateway.index) * STEP_MS) / 1_000;
    const requests = Math.floor(expected + random());
    for (let count = 0; count < requests; count += 1) {
      this.ledger.recordRequest(now - random() * MAX_DELAY_MS);
      gateway.budget.recordRequest();
    }
    if (!wantsRetries(now, gateway.index)) {
      return;
    }
    for (let count = 0; count < MAX_RETRIES_PER_STEP; count += 1) {
      if (!gateway.budget.takeRetry()) {
        return;
      }
      this.ledger.recordRetry(now + random() * MAX_DELAY_MS);
    }
  }
}
