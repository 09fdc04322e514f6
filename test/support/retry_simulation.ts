/**
 * Simulates the retry budgets of many gateways whose callers would take any retry. The budgets
 * are the real ones; the network and control are simulated.
 */
import {EventRing} from '../../src/common/event_ring';
import {LeaseClock} from '../../src/common/lease_clock';
import {RetryLoanService} from '../../src/control/retry_loan_service';
import {RetryBudget} from '../../src/gateway/retries/retry_budget';
import {RetryGrant} from '../../src/gateway/retries/retry_grant';
import {ControlCommand} from '../../src/protocol/control_command';
import {ClusterState} from '../../src/state/cluster_state';
import {VirtualTime} from '../simulation/virtual_time';
import {RetryLedger} from './retry_ledger';

/** Interval at which requests arrive and retries are attempted. */
const STEP_MS = 25;
const POLL_INTERVAL_MS = 250;
/** Time from the proposal of a command until it is committed. */
const COMMIT_MS = 5;
/** Time after which a gateway gives up a request for a loan. */
const ASK_TIMEOUT_MS = 500;
/** Longest time from the arrival of a retry to the head of its response. */
const MAX_RESPONSE_MS = 300;
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
  /** Retries per second that a gateway's callers want, at a time; any number by default. */
  readonly wantedAt?: (at: number) => number;
  /** Replaces the budget, to compare it with others. */
  readonly createBudget?: (gateway: SimulatedGateway) => SimulatedBudget;
  /** Uniform in [0, 1), seeded. */
  readonly random: () => number;
}

/** What the simulation needs of a budget. */
export interface SimulatedBudget {
  recordRequest(): void;
  takeRetry(): Pick<RetryGrant, 'settle'> | undefined;
}

export class SimulatedGateway {
  budget: SimulatedBudget;
  isRunning = true;
  isCutOff = false;
  pausedUntil = -Infinity;
  /** Total time of suspensions, which the monotonic clock does not count. */
  suspendedMs = 0;
  private polledAt = -Infinity;

  constructor(
    readonly index: number,
    readonly simulation: RetrySimulation,
  ) {
    this.budget = this.createBudget();
  }

  restart(): void {
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
    simulation.leader?.refresh();
  }

  private createBudget(): SimulatedBudget {
    const {simulation} = this;
    const {createBudget} = simulation.options;
    if (createBudget) {
      return createBudget(this);
    }
    const clock = {now: () => simulation.time.now() - this.suspendedMs};
    const wall = () => simulation.time.now();
    return RetryBudget.create({
      limits: simulation.options.limits,
      clock,
      leaseClock: LeaseClock.create({monotonic: clock, wall}),
      askLoan: wanted => simulation.askLoan(this, wanted),
    });
  }
}

/** Runs one simulation. */
export class RetrySimulation {
  readonly time = VirtualTime.create();
  readonly ledger = new RetryLedger();
  readonly gateways: SimulatedGateway[] = [];
  leader: RetryLoanService | undefined;
  /** The replicated state, which outlasts leaders. */
  private readonly state = ClusterState.create();
  private logIndex = 0;
  /** Called when the leader changes. */
  onLeaderChange: () => void = () => undefined;
  /** Whether each wanted retry was granted, with its time. */
  readonly decisions: Array<{at: number; isGranted: boolean}> = [];

  private constructor(readonly options: RetrySimulationOptions) {
    this.leader = this.createLeader();
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

  /** Removes the leader; another one takes over after this time. */
  changeLeader(withoutMs: number): void {
    this.leader = undefined;
    this.onLeaderChange();
    this.time.after(withoutMs, () => (this.leader = this.createLeader()));
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

  /** Asks the leader for a loan; fails while there is none or the gateway is cut off. */
  askLoan(
    gateway: SimulatedGateway,
    wanted: number,
  ): ReturnType<Parameters<typeof RetryBudget.create>[0]['askLoan']> {
    return new Promise((resolve, reject) => {
      this.runWhenAwake(gateway, ASK_TIMEOUT_MS, () => reject(new Error()));
      this.time.after(this.drawDelay(), () => {
        const {leader} = this;
        if (!leader || gateway.isCutOff) {
          return;
        }
        const ask = {type: 'retry-loan-ask' as const, call: 0, pool: 'p'};
        const gatewayId = `g${gateway.index}`;
        leader.handlers['retry-loan-ask']({...ask, gatewayId, wanted}).then(
          answer =>
            this.runWhenAwake(gateway, this.drawDelay(), () => {
              if (answer.type === 'retry-loan-answer') {
                resolve(answer);
              }
            }),
          reject,
        );
      });
    });
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
    const wanted = this.countWanted(now);
    for (let count = 0; count < wanted; count += 1) {
      const grant = gateway.budget.takeRetry();
      this.decisions.push({at: now, isGranted: grant !== undefined});
      if (!grant) {
        return;
      }
      const delayMs = this.drawDelay();
      this.ledger.recordRetry(now + delayMs);
      const respondsInMs = delayMs + random() * MAX_RESPONSE_MS;
      this.runWhenAwake(gateway, respondsInMs, () => grant.settle());
    }
  }

  private countWanted(now: number): number {
    const {wantedAt, random} = this.options;
    return wantedAt
      ? Math.floor((wantedAt(now) * STEP_MS) / 1_000 + random())
      : MAX_RETRIES_PER_STEP;
  }

  private createLeader(): RetryLoanService {
    const runtime = {
      state: this.state,
      propose: (command: ControlCommand) => this.commit(command),
    };
    const {windowMs, slack} = this.options.limits;
    return RetryLoanService.create({
      runtime,
      clock: this.time,
      events: EventRing.create(),
      retries: {windowMs, slack},
    });
  }

  private commit(
    command: ControlCommand,
  ): Promise<ReturnType<ClusterState['apply']>> {
    return new Promise(resolve =>
      this.time.after(COMMIT_MS, () => {
        this.logIndex += 1;
        resolve(this.state.apply({index: this.logIndex, term: 1, command}));
      }),
    );
  }

  /** Runs an action at a gateway after a delay, and not before a pause of its machine ends. */
  private runWhenAwake(
    gateway: SimulatedGateway,
    inMs: number,
    act: () => void,
  ): void {
    this.time.after(inMs, () => {
      const away = gateway.pausedUntil - this.time.now();
      return away > 0 ? this.runWhenAwake(gateway, away, act) : act();
    });
  }

  private drawDelay(): number {
    return this.options.random() * MAX_DELAY_MS;
  }
}
