/**
 * One randomized run of the real programs under faults from outside. What is
 * checked, from what callers, operators and backend servers see: a request that
 * may not run again runs once at most; one that was refused has not run, ever;
 * one that a backend server began ends with a whole answer; a success is the
 * backend server's own, and a stream has no gap; what was acknowledged is never
 * read back older, and is there at the end; a backend server that names a limit
 * gets no more than it bears, and is not believed what stands in the answer to
 * another request; gateways close connections on which bytes come without end; no
 * process ends by itself.
 */
import {waitUntil} from '../support/wait_until';
import {checkClaims} from './check_claims';
import {checkRequest} from './check_request';
import {createRandom} from './create_random';
import {saveLogs} from './save_logs';
import {SoakCallers} from './soak_callers';
import {SoakEndless} from './soak_endless';
import {SoakFaults} from './soak_faults';
import {SoakFleet} from './soak_fleet';
import {SoakOperator} from './soak_operator';
import {soakRoutes} from './soak_routes';

const REFUSED = 503;

/** What one run is given. */
interface SoakRunOptions {
  readonly seed: number;
  /** How long faults come, in milliseconds. */
  readonly durationMs: number;
}

/** A fleet, its callers and its operators. */
export class SoakRun {
  /** Broken promises, each in a sentence. */
  readonly broken: string[] = [];
  /** Where the logs are, if something was broken. */
  logFile: string | undefined;
  private readonly callers: SoakCallers;
  private readonly operator: SoakOperator;
  private readonly faults: SoakFaults;
  private readonly endless: SoakEndless;

  private constructor(
    private readonly options: SoakRunOptions,
    private readonly fleet: SoakFleet,
  ) {
    const {seed} = options;
    this.callers = SoakCallers.create(fleet, createRandom(seed + 1));
    this.operator = SoakOperator.create(fleet);
    const readBack = () => this.operator.readBack();
    this.faults = SoakFaults.create({seed, fleet, readBack});
    const {requests} = this.callers;
    this.endless = SoakEndless.create({requests, fleet, faults: this.faults});
  }

  /** Plays one run; the result names what was broken, if anything. */
  static async play(options: SoakRunOptions): Promise<SoakRun> {
    const fleet = await SoakFleet.create(options.seed);
    const run = new SoakRun(options, fleet);
    try {
      await run.playAll();
    } catch (error) {
      run.broken.push((error as Error).message);
    } finally {
      await Promise.all([run.callers.stop(), run.operator.stop()]);
      run.checkAll();
      await fleet.close();
      run.logFile = saveLogs({
        name: `soak-${options.seed}`,
        broken: run.broken,
        faults: run.faults.lines,
        processes: fleet.machines,
      });
    }
    return run;
  }

  /** Figures of the run. */
  describe() {
    const {seed} = this.options;
    const statuses: Record<string, number> = {};
    const refusals: Record<string, number> = {};
    for (const {reply} of this.callers.requests) {
      const key = reply.isWhole ? `${reply.status}` : `${reply.status} broken`;
      statuses[key] = (statuses[key] ?? 0) + 1;
      if (reply.status === REFUSED) {
        const reason = reply.body.trim();
        refusals[reason] = (refusals[reason] ?? 0) + 1;
      }
    }
    const faults = Object.values(this.faults.counts);
    return {
      seed,
      statuses,
      refusals,
      answered: statuses['200'] ?? 0,
      acknowledged: this.operator.acknowledged,
      faults: faults.reduce((sum, count) => sum + count, 0),
      copies: this.fleet.backends.reduce(
        (sum, {options}) => sum + options.copies.sent,
        0,
      ),
      endless: this.endless.describe(),
      broken: this.broken,
      logFile: this.logFile,
    };
  }

  private async playAll(): Promise<void> {
    const {fleet, callers, operator, faults} = this;
    await fleet.start();
    await waitUntil('the first bundle', () => operator.rollOut());
    await this.waitForAnswers('at the start');
    callers.start();
    operator.start();
    await faults.inject(this.options.durationMs);
    await Promise.all([callers.stop(), operator.stop()]);
    await this.waitForAnswers('after all faults');
    for (const control of fleet.controls) {
      const what = `the bundle from ${control.options.ip} after all faults`;
      await waitUntil(what, () => operator.readBack(control));
    }
    await waitUntil(
      'an end of all bytes without end',
      () => !this.endless.isUnderWay,
    );
  }

  /** Every kind of request is answered at every entry. */
  private async waitForAnswers(when: string): Promise<void> {
    const {fleet, callers} = this;
    for (const entry of fleet.entries) {
      for (const route of Object.keys(soakRoutes)) {
        const what = `an answer to ${route} from ${entry.options.ip} ${when}`;
        await waitUntil(what, () => callers.send(entry, route));
      }
    }
  }

  /** At the end, since a refused request must not run later either. */
  private checkAll(): void {
    const {fleet, callers, operator, faults, broken} = this;
    for (const request of callers.requests) {
      broken.push(
        ...checkRequest(request, fleet.work.get(request.key), faults),
      );
    }
    broken.push(...this.endless.check(), ...checkClaims(fleet.machines));
    broken.push(...operator.broken);
    broken.push(...fleet.signals.flatMap(signals => signals.broken));
    broken.push(
      ...fleet.machines.flatMap(({unexpectedEnd}) => unexpectedEnd ?? []),
    );
  }
}
