/** Runs a scenario against real processes. */
import {generateKeyPairSync} from 'node:crypto';
import {rmSync} from 'node:fs';
import {expect} from 'vitest';
import {Bundle} from '../../src/protocol/bundle';
import {computeDigest} from '../../src/protocol/compute_digest';
import {signBundle} from '../../src/protocol/sign_bundle';
import {SignedBundle} from '../../src/protocol/signed_bundle';
import {CallResult, call} from './caller';
import {checkEpochs} from './check_epochs';
import {ManagedProcess} from './managed_process';
import {Scenario, StepArguments, parseStep} from './scenario';
import {TestFleet} from './test_fleet';
import {listConditions} from './scenario_conditions';
import {waitUntil} from './wait_until';

const KEY = 'scenario-key';

type Handlers = {
  [K in keyof StepArguments]: (
    value: StepArguments[K],
  ) => Promise<unknown> | unknown;
};
type RollOutAnswer = Awaited<ReturnType<TestFleet['rollOut']>>['answer'];

/** Runs the steps of one scenario in order. */
export class ScenarioRunner {
  private readonly answers = new Map<string, Promise<CallResult>>();
  private readonly finished = new Set<string>();
  private readonly rollOuts = new Map<
    string,
    {answer: RollOutAnswer; signed: SignedBundle}
  >();
  private readonly aliases = new Map<string, string>();
  private readonly releases = new Map<string, () => void>();
  private readonly stopping = new Map<string, Promise<number | null>>();

  private constructor(
    private readonly scenario: Scenario,
    private readonly fleet: TestFleet,
    private bundle: Bundle,
  ) {}

  /** Starts the fleet, rolls out the bundle, runs every step and stops the fleet. */
  static async run(scenario: Scenario): Promise<void> {
    const {controls, entries, snapshotEvery, stopWithinMs} = scenario;
    const hosts = Object.entries(scenario.hosts).map(([hostId, host]) => ({
      hostId,
      domain: host.domain,
      zone: host.zone,
      kind: host.model ? ('model' as const) : ('service' as const),
      name: host.model ?? host.service ?? '',
      engine: {honoursFencing: host.honoursFencing, tokenMs: host.tokenMs},
    }));
    const controlArgs = snapshotEvery
      ? ['--snapshot-every', String(snapshotEvery)]
      : [];
    const stopArgs = stopWithinMs
      ? ['--stop-within-ms', String(stopWithinMs)]
      : [];
    const fleet = await TestFleet.create({
      hosts,
      controls,
      entries,
      controlArgs,
      entryArgs: stopArgs,
      hostArgs: stopArgs,
      hasRelays: true,
      isTls: scenario.isTls,
    });
    const bundle = Bundle.parse({
      operator: 'scenario',
      version: 1,
      // The simulated engines load no weights, so repairs need not account for a loading time.
      models: scenario.models.map(model => ({...model, loadSeconds: 0.1})),
      services: scenario.services.map(service => ({
        ...service,
        notRepeatable: [{method: 'POST', pathPrefix: '/once'}],
      })),
      workspaces: [
        {name: 'caller', keyHashes: [computeDigest(KEY)], maxInFlight: 1_000},
      ],
    });
    try {
      const runner = new ScenarioRunner(scenario, fleet, bundle);
      const {answer} = await fleet.rollOut(bundle);
      expect(answer.reason).toBe('accepted');
      await fleet.waitForReady();
      await runner.runSteps();
    } finally {
      await fleet.close();
    }
  }

  private async runSteps(): Promise<void> {
    for (const [at, step] of this.scenario.steps.entries()) {
      const {name, value} = parseStep(step);
      try {
        await this.handlers[name](value as never);
      } catch (error) {
        (error as Error).message =
          `step ${at + 1}, ${JSON.stringify(step)}: ${(error as Error).message}`;
        throw error;
      }
    }
    checkEpochs(this.fleet);
  }

  private readonly handlers: Handlers = {
    kill: id => this.find(id).kill(),
    pause: id => this.find(id).pause(),
    resume: id => this.find(id).resume(),
    stop: id => {
      this.stopping.set(this.resolve(id), this.find(id).stop());
    },
    start: id => this.start(this.resolve(id)),
    loseDisk: id => {
      rmSync(this.fleet.getDataFolder(this.resolve(id)), {recursive: true});
    },
    cut: ({from, to, way}) => {
      for (const relay of this.fleet.relays.select(
        this.resolve(from),
        this.resolve(to),
      )) {
        if (way === 'broken') {
          relay.break();
        } else {
          relay.pause(way === 'both' ? ['forward', 'back'] : [way]);
        }
      }
    },
    heal: ({from, to}) => {
      const relays = this.fleet.relays.select(
        this.resolve(from),
        this.resolve(to),
      );
      relays.forEach(relay => relay.restore());
    },
    engine: value => this.setEngine(value),
    rollOut: value => this.rollOut(value),
    expectRollOut: ({as, isAccepted, reason}) => {
      const answer = this.rollOuts.get(as)?.answer;
      expect(answer?.isAccepted).toBe(isAccepted);
      if (reason) {
        expect(answer?.reason).toContain(reason);
      }
    },
    drain: async hostId => {
      const answer = await this.fleet.drain(hostId);
      expect(answer.isAccepted).toBe(true);
    },
    send: value => this.send(value),
    expect: value => this.expectAnswer(value),
    expectRuns: ({body, count, atMost}) => {
      const runs = this.countRuns(body);
      if (count !== undefined) {
        expect(runs, `runs of ${body}`).toBe(count);
      }
      if (atMost !== undefined) {
        expect(runs, `runs of ${body}`).toBeLessThanOrEqual(atMost);
      }
    },
    waitFor: value => this.waitFor(value),
    remember: async ({leader}) => {
      const status = await this.fleet.operator.readStatus();
      this.aliases.set(leader, status.leader.split('/')[0]);
    },
    expectExit: async ({process, code}) => {
      expect(await this.stopping.get(this.resolve(process))).toBe(code);
    },
  };

  private resolve(id: string): string {
    return this.aliases.get(id) ?? id;
  }

  private find(id: string): ManagedProcess {
    const name = this.resolve(id);
    const {controls, hosts, entries} = this.fleet;
    const found = controls.get(name) ?? hosts.get(name) ?? entries.get(name);
    if (!found) {
      throw new Error(`there is no process ${name}`);
    }
    return found;
  }

  private async start(id: string): Promise<void> {
    if (this.fleet.controls.has(id)) {
      await this.fleet.startControl(id);
    } else if (this.fleet.entries.has(id)) {
      await this.fleet.startEntry(id);
    } else {
      await this.fleet.restartHost(id);
    }
  }

  private setEngine(value: StepArguments['engine']): void {
    const engine = this.fleet.findEngine(value.host);
    engine.tokenMs = value.tokenMs ?? engine.tokenMs;
    engine.breakAfterTokens = value.breakAfterTokens;
    engine.isLeaving = value.isLeaving ?? engine.isLeaving;
    if (value.hold === true) {
      engine.hold = new Promise(resolve =>
        this.releases.set(value.host, resolve),
      );
    } else if (value.hold === false) {
      engine.hold = undefined;
      this.releases.get(value.host)?.();
    }
  }

  private async rollOut(value: StepArguments['rollOut']): Promise<void> {
    const repeated = this.rollOuts.get(value.again ?? '');
    if (repeated) {
      const answer = await this.fleet.operator.rollOut(repeated.signed);
      this.rollOuts.set(value.as, {answer, signed: repeated.signed});
      return;
    }
    const next = {
      ...this.bundle,
      version: value.version ?? this.bundle.version + 1,
      models: this.bundle.models.map(model => ({
        ...model,
        replicas: value.replicas?.[model.name] ?? model.replicas,
      })),
    };
    if (value.isForged || value.isMadeFromNothing) {
      const key = value.isForged
        ? generateKeyPairSync('ed25519').privateKey
        : this.fleet.readOperatorKey();
      const signed = signBundle({...next, previous: ''}, key);
      this.rollOuts.set(value.as, {
        answer: await this.fleet.operator.rollOut(signed),
        signed,
      });
      return;
    }
    const result = await this.fleet.rollOut(next);
    this.rollOuts.set(value.as, result);
    if (result.answer.isAccepted) {
      this.bundle = next;
    }
  }

  private send(value: StepArguments['send']): void {
    const isService = value.kind === 'service';
    const service = this.scenario.services[0]?.name;
    const path = isService
      ? `/services/${service}${value.path}`
      : '/v1/chat/completions';
    const body = isService
      ? value.body
      : JSON.stringify({
          model: this.scenario.models[0]?.name,
          stream: value.kind === 'stream',
          max_tokens: value.tokens,
          messages: [{role: 'user', content: value.body}],
        });
    const headers: Record<string, string> = {authorization: `Bearer ${KEY}`};
    if (value.key) {
      headers['idempotency-key'] = value.key;
    }
    if (value.isOnce) {
      headers['whinreel-not-repeatable'] = 'true';
    }
    if (value.deadlineMs) {
      headers['whinreel-deadline-ms'] = String(value.deadlineMs);
    }
    const {isSlowReader} = value;
    const url = `${this.fleet.getEntryUrl(this.resolve(value.at))}${path}`;
    const sendOnce = () =>
      call({url, method: 'POST', headers, body, isSlowReader});
    const isDone = (outcome: string) =>
      value.until ? outcome === value.until : outcome !== 'not-run';
    const answer = value.isPatient
      ? sendWithRetries(sendOnce, isDone)
      : sendOnce();
    this.answers.set(value.as, answer);
    void answer.then(() => this.finished.add(value.as));
  }

  private async expectAnswer(value: StepArguments['expect']): Promise<void> {
    const result = await this.answers.get(value.answer);
    if (!result) {
      throw new Error(`nothing was sent as ${value.answer}`);
    }
    const {status, outcome, text, isBroken} = result;
    const seen = JSON.stringify({
      status,
      outcome,
      isBroken,
      text: text.slice(-300),
    });
    if (value.status !== undefined) {
      expect([value.status].flat(), seen).toContain(status);
    }
    if (value.outcome !== undefined) {
      expect([value.outcome].flat(), seen).toContain(outcome);
    }
    if (value.tokens !== undefined) {
      const tokens = [...text.matchAll(/"content":"t(\d+) "/g)].map(match =>
        Number(match[1]),
      );
      expect(tokens, seen).toEqual(
        Array.from({length: value.tokens}, (_, at) => at),
      );
    }
    if (value.contains !== undefined) {
      expect(text).toContain(value.contains);
    }
    const hasDoneMark = text.endsWith('data: [DONE]\n\n');
    // A failed response is a problem document before its first token, and an error event after it.
    const isProblem = status >= 500 && text.startsWith('{"type"');
    const hasError = isProblem || text.includes('event: error\n');
    const ends = {
      mark: hasDoneMark && !hasError && !isBroken,
      error: hasError && !hasDoneMark && !isBroken,
      whole: !isBroken,
      broken: isBroken,
    };
    expect(value.end === undefined || ends[value.end], seen).toBe(true);
  }

  private countRuns(body: string): number {
    return [...this.fleet.engines.values()]
      .flatMap(engine => [...engine.runsByBody])
      .filter(([text]) => text.includes(body))
      .reduce((sum, [, count]) => sum + count, 0);
  }

  private async waitFor(value: StepArguments['waitFor']): Promise<void> {
    const what = JSON.stringify(value);
    if (value.gone) {
      await this.find(value.gone).exited;
    }
    if (value.answered) {
      await this.answers.get(value.answered);
    }
    const entryId = value.ready ?? value.notReady;
    if (entryId) {
      await waitUntil(what, async () => {
        const response = await fetch(
          `${this.fleet.getEntryUrl(entryId)}/healthz`,
        );
        return (response.status === 200) === (value.ready !== undefined);
      });
    }
    const {running} = value;
    if (running) {
      const engine = this.fleet.findEngine(running.host);
      await waitUntil(what, () => engine.running === running.count);
    }
    const conditions = listConditions(value, id => this.resolve(id));
    if (conditions.length > 0) {
      await this.fleet.waitForStatus(what, status =>
        conditions.every(fits => fits(status)),
      );
    }
  }
}

/** Retries at once until the outcome is accepted; callers outside a test would wait for the time that the response names. */
async function sendWithRetries(
  sendOnce: () => Promise<CallResult>,
  isDone: (outcome: string) => boolean,
): Promise<CallResult> {
  return waitUntil('an answer with the awaited outcome', async () => {
    const result = await sendOnce();
    return isDone(result.outcome) ? result : undefined;
  });
}
