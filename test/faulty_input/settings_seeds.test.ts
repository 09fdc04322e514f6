/** One mistyped seed keeps a program from starting, at all machines that have the file. */
import {afterEach, beforeEach, expect, test} from 'vitest';
import {SoakMachine} from '../soak/soak_machine';
import {waitUntil} from '../support/wait_until';
import {FaultyBackend} from './faulty_backend';
import {FaultyCallers} from './faulty_callers';
import {FaultyFleet} from './faulty_fleet';
import {listMalformedAddresses} from './malformed_addresses';

const SEED = 73;
const LIMIT_MS = 240_000;
const OK = 200;
const NOT_READY = 503;
/** Longer than a gateway serves by rules that control does not confirm. */
const UNCONFIRMED_MS = 5_000;
const LINE_WITHIN_MS = 5_000;

let fleet: FaultyFleet;
let backend: FaultyBackend;
let callers: FaultyCallers | undefined;
/** The texts that stand in place of seeds. */
let malformed: string[];
let failures: string[];

beforeEach(async () => {
  callers = undefined;
  failures = [];
  fleet = await FaultyFleet.create(SEED);
  const control = () => fleet.chooseControl();
  backend = await FaultyBackend.create({id: 'a', service: 'sound', control});
  malformed = listMalformedAddresses(fleet.controls[0].options.ports.control);
  await waitUntilCallsServed();
});

afterEach(async () => {
  await callers?.stop();
  backend.close();
  await fleet.close();
});

async function waitUntilCallsServed(): Promise<void> {
  const call = {service: 'sound', kind: 'safe'} as const;
  for (const entry of fleet.entries) {
    await waitUntil(`an answer by ${entry.label}`, async () => {
      const {status} = await fleet.call(entry, call);
      return status === OK;
    });
  }
}

/** Resolves when a line that tells of seeds quotes one of these texts. */
async function waitUntilReported(
  machine: SoakMachine,
  texts: readonly string[],
  from: number,
): Promise<void> {
  // In a field of its own, or quoted within a sentence.
  const quoted = texts.flatMap(text => [`"${text}"`, `\\"${text}\\"`]);
  const isReported = (line: string) =>
    line.includes('seed') && quoted.some(text => line.includes(text));
  const what = `a line of ${machine.label} on its malformed seed`;
  const find = () => machine.log.slice(from).some(isReported);
  await waitUntil(what, find, LINE_WITHIN_MS);
}

/** Carries out a step; a sentence tells of its failure. */
async function attempt(what: string, step: Promise<void>): Promise<void> {
  await step.catch((error: Error) =>
    failures.push(`${what}: ${error.message}`),
  );
}

/** One malformed seed, beside sound ones and alone, while a program runs and at starts after a kill. */
async function playSeed(
  machine: SoakMachine,
  seed: string,
  isTold: boolean,
): Promise<void> {
  const what = `${machine.label} with ${seed}`;
  const from = machine.log.length;
  machine.writeSeeds([...machine.soundSeeds, seed], isTold);
  if (isTold) {
    const reported = waitUntilReported(machine, [seed], from);
    await attempt(`${what} while it runs`, reported);
  }
  await attempt(`${what} beside sound seeds`, restartReported(machine, seed));

  machine.writeSeeds([seed], isTold);
  await attempt(`${what} alone`, restartWithoutSeeds(machine, [seed]));

  machine.writeSeeds(machine.soundSeeds, isTold);
  await attempt(`${what} mended`, waitUntilServing(machine));
}

async function restartReported(
  machine: SoakMachine,
  seed: string,
): Promise<void> {
  const from = machine.log.length;
  await fleet.restart(machine);
  await waitUntilReported(machine, [seed], from);
}

async function restartWithoutSeeds(
  machine: SoakMachine,
  texts: readonly string[],
): Promise<void> {
  const from = machine.log.length;
  await fleet.restartKilled(machine);
  await waitUntilReported(machine, texts, from);
  if (machine.options.role === 'control') {
    // By what its disk holds.
    await fleet.waitUntilServing(machine);
    return;
  }
  const status = await fleet.readReadiness(machine);
  expect(status, 'status of its readiness').toBe(NOT_READY);
}

async function waitUntilServing(machine: SoakMachine): Promise<void> {
  if (machine.pid === undefined) {
    await machine.start();
  }
  await fleet.waitUntilServing(machine);
}

/** Plays one seed after the other, at the machines in turn. */
async function playSeeds(
  machines: readonly SoakMachine[],
  seeds: readonly string[],
): Promise<void> {
  for (const [at, seed] of seeds.entries()) {
    await playSeed(machines[at % machines.length], seed, at % 2 === 0);
  }
}

async function playLossOfPower(): Promise<void> {
  const {machines} = fleet;
  machines.forEach(machine => machine.writeSeeds(malformed));
  await Promise.all(
    machines.map(machine =>
      attempt(
        `${machine.label} after a loss of power`,
        restartWithoutSeeds(machine, malformed),
      ),
    ),
  );
  machines.forEach((machine, at) =>
    machine.writeSeeds(machine.soundSeeds, at % 2 === 0),
  );
  await Promise.all(machines.map(waitUntilServing));
  await waitUntilCallsServed();
}

test(
  'malformed seeds keep no program from starting after kills and a loss of power',
  async () => {
    const [gateway, other] = fleet.entries;
    const half = malformed.length / 2;
    await Promise.all([
      playSeeds([gateway], malformed.slice(0, half)),
      playSeeds([other], malformed.slice(half)),
      playSeeds(fleet.controls, malformed),
    ]);
    await playLossOfPower();

    expect.soft(failures).toEqual([]);
    expect(fleet.ends).toEqual([]);
  },
  LIMIT_MS,
);

test(
  'a settings file that is wrong changes nothing for programs that run',
  async () => {
    const {machines, entries} = fleet;
    callers = FaultyCallers.create(fleet);
    const writers: Array<(machine: SoakMachine) => void> = [
      machine => machine.changeSettings('wrong'),
      machine => machine.writeSeeds(malformed),
      machine => machine.writeSeeds([...machine.soundSeeds, ...malformed]),
    ];
    for (const write of writers) {
      machines.forEach(write);
      await new Promise(resolve => setTimeout(resolve, UNCONFIRMED_MS));
      const isServing = machines.map(machine => fleet.isServing(machine));
      expect(await Promise.all(isServing)).toEqual(machines.map(() => true));
    }
    await callers.stop();

    const answers = callers.answered.filter(each => each.service === 'sound');
    const served = answers.filter(({reply}) => reply.status === OK);
    expect(served.length).toBe(answers.length);
    expect(new Set(answers.map(({entry}) => entry)).size).toBe(entries.length);
    expect(fleet.ends).toEqual([]);
  },
  LIMIT_MS,
);
