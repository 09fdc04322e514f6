/** Faults of several kinds under way at once; one control machine at a time is away. */
import {Relay} from '../support/relay';
import {waitUntil} from '../support/wait_until';
import {FaultLanes} from './fault_lanes';
import {listProcessFaults} from './list_process_faults';
import {SoakFleet} from './soak_fleet';

/** A series of stops begins within this time. */
const SERIES_MS = 1_000;
/** A quorum that lost a disk needs this long to be whole again, before the next loss. */
const REPAIR_MS = 1_000;
const MAX_DELAY_MS = 200;
/** Lanes that were added later draw from seeds of their own, so that the others draw what they always did. */
const ANSWER_SEEDS = 4_000_000;
const ANSWER_LANES = 2;
const {drawMs, pick, sleep} = FaultLanes;

/** What faults work with. */
interface SoakFaultsOptions {
  readonly seed: number;
  readonly fleet: SoakFleet;
  /** True when control answers. */
  readonly readBack: () => Promise<boolean>;
}

type Random = () => number;
type Fault = () => Promise<unknown>;
type Faults = Readonly<Record<string, Fault>>;

/** Draws faults from a seed: each lane of its own, one after the other. */
export class SoakFaults {
  private readonly lanes = FaultLanes.create();
  /** When the link to a backend server was disturbed, by its name. */
  private readonly linkHarms: Array<{name: string; from: number; to: number}> =
    [];

  private constructor(private readonly options: SoakFaultsOptions) {}

  static create(options: SoakFaultsOptions): SoakFaults {
    return new SoakFaults(options);
  }

  /** What was done when, a line each. */
  get lines(): readonly string[] {
    return this.lanes.lines;
  }

  get counts(): Readonly<Record<string, number>> {
    return this.lanes.counts;
  }

  /** True when the link to one of these backend servers was disturbed at some moment of this time. */
  wasLinkHarmed(names: ReadonlySet<string>, from: number, to: number): boolean {
    return this.linkHarms.some(
      harm => names.has(harm.name) && harm.from <= to && harm.to >= from,
    );
  }

  /** Injects faults for a while; all are over when it resolves. */
  async inject(durationMs: number): Promise<void> {
    const lists: Array<(random: Random) => Faults> = [
      random => this.listControlFaults(random),
      random => this.listEntryFaults(random),
      random => this.listEntryFaults(random),
      random => this.listLinkFaults(random),
      random => this.listLinkFaults(random),
      random => this.listSettingsFaults(random),
    ];
    const {seed} = this.options;
    const lanes = lists.map((list, at) => ({
      list,
      seed: seed * lists.length + at,
    }));
    for (let at = 0; at < ANSWER_LANES; at += 1) {
      lanes.push({
        list: random => this.listAnswerFaults(random),
        seed: ANSWER_SEEDS + seed * ANSWER_LANES + at,
      });
    }
    try {
      await this.lanes.inject(durationMs, lanes);
    } finally {
      this.options.fleet.relays
        .select('*', '*')
        .forEach(link => link.restore());
    }
  }

  private listControlFaults(random: Random): Faults {
    const {controls, relays} = this.options.fleet;
    const machine = pick(controls, random);
    const durationMs = drawMs(random);
    const {ip} = machine.options;
    const links = [...relays.select('*', ip), ...relays.select(ip, '*')];
    const between = controls.flatMap(({options}) =>
      relays.select(options.ip, '*'),
    );
    return this.mapRepairs({
      ...listProcessFaults('control', machine, durationMs),
      [`disk of ${ip} lost`]: () => machine.restartKilled(0, true),
      [`${ip} cut off`]: () => hold(links, durationMs, link => link.break()),
      [`${ip} not heard`]: () =>
        hold(relays.select(ip, '*'), durationMs, link =>
          link.pause(['forward']),
        ),
      'control links go silent': async () =>
        between.forEach(link => link.pauseOpenForever()),
      'control stopped by turns': async () => {
        for (const one of controls) {
          await one.restartStopped();
        }
      },
    });
  }

  private listEntryFaults(random: Random): Faults {
    const {entries} = this.options.fleet;
    const waits = entries.map(() => random() * SERIES_MS);
    return {
      ...listProcessFaults('entry', pick(entries, random), drawMs(random)),
      'all entries stopped': () =>
        Promise.all(
          entries.map(async (entry, at) => {
            await sleep(waits[at]);
            await entry.restartStopped();
          }),
        ),
    };
  }

  private listLinkFaults(random: Random): Faults {
    const {fleet} = this.options;
    const entry = pick(fleet.entries, random).options.ip;
    const control = pick(fleet.controls, random).options.ip;
    const name = pick(fleet.backendNames, random);
    const toBackend = [fleet.findBackendLink(name)];
    const toControl = fleet.relays.select(entry, control);
    const ofEntry = fleet.relays.select(entry, '*');
    const times = {
      durationMs: drawMs(random),
      delayMs: random() * MAX_DELAY_MS,
    };
    return {
      ...listRelayFaults(`${entry} to ${control}`, toControl, times),
      ...listRelayFaults(`${entry} to control`, ofEntry, times),
      ...this.mapHarms(name, listRelayFaults(`to ${name}`, toBackend, times)),
    };
  }

  /** The same faults, each of which ends when control is whole again. */
  private mapRepairs(faults: Faults): Faults {
    const mapped = Object.entries(faults).map(([what, fault]) => [
      what,
      async () => {
        await fault();
        await waitUntil('control', () => this.options.readBack());
        await sleep(REPAIR_MS);
      },
    ]);
    return Object.fromEntries(mapped) as Faults;
  }

  /** The same faults, noted as disturbing the link to a backend server. */
  private mapHarms(name: string, faults: Faults): Faults {
    const mapped = Object.entries(faults).map(([what, fault]) => [
      what,
      async () => {
        const harm = {name, from: performance.now(), to: Infinity};
        this.linkHarms.push(harm);
        await fault();
        harm.to = performance.now() + MAX_DELAY_MS;
      },
    ]);
    return Object.fromEntries(mapped) as Faults;
  }

  private listSettingsFaults(random: Random): Faults {
    const {fleet, seed} = this.options;
    const machine = pick(fleet.machines, random);
    const seeds = SoakFleet.listSeeds(seed);
    const at = Math.floor(random() * seeds.length);
    const turned = [...seeds.slice(at), ...seeds.slice(0, at)];
    const {ip} = machine.options;
    return {
      [`settings of ${ip} changed`]: async () => machine.changeSettings(turned),
      [`settings of ${ip} wrong`]: async () => machine.changeSettings('wrong'),
    };
  }

  /** Backend servers send what is no answer to the request; which requests it meets is drawn by each for itself. */
  private listAnswerFaults(random: Random): Faults {
    const {backends} = this.options.fleet;
    const {incarnation, copies, endless} = pick(backends, random).options;
    const durationMs = drawMs(random);
    const runWhile = async (begin: () => void) => {
      begin();
      await sleep(durationMs);
    };
    return {
      [`late copies from ${incarnation}`]: () =>
        runWhile(() => copies.beginForeign(durationMs)),
      [`bytes without end from ${incarnation}`]: () =>
        runWhile(() => endless.begin(durationMs)),
      'refusals come twice': () =>
        runWhile(() =>
          backends.forEach(({options}) =>
            options.copies.beginTwice(durationMs),
          ),
        ),
    };
  }
}

function listRelayFaults(
  what: string,
  links: readonly Relay[],
  {durationMs, delayMs}: {durationMs: number; delayMs: number},
): Faults {
  return {
    [`${what} delayed`]: () =>
      hold(links, durationMs, link => link.delay(delayMs)),
    [`${what} reset`]: async () => links.forEach(link => link.reset()),
    [`${what} cut there`]: () =>
      hold(links, durationMs, link => link.pause(['forward'])),
    [`${what} cut back`]: () =>
      hold(links, durationMs, link => link.pause(['back'])),
    [`${what} silent for good`]: async () =>
      links.forEach(link => link.pauseOpenForever()),
  };
}

async function hold(
  links: readonly Relay[],
  durationMs: number,
  disturb: (link: Relay) => void,
): Promise<void> {
  links.forEach(disturb);
  await sleep(durationMs);
  links.forEach(link => link.restore());
}
