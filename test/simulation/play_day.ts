/** Plays one day on the real quorum code and checks its promises. */
import {createRandom} from '../support/create_random';
import {chooseWiped} from './choose_wiped';
import {createBundle} from './create_bundle';
import {describeMachine} from './describe_machine';
import {LossLedger} from './loss_ledger';
import {
  BUSY_EVERY_MS,
  CHANGES_PER_VERDICT,
  CLOSING_WAIT_MS,
  LOOK_EVERY_MS,
  LOSSES,
  RECOVER_MS,
  SEEDS,
  VOTERS,
} from './day_limits';
import {DayResult} from './day_result';
import {DayStory} from './day_story';
import {DAY_MS, DayEvent, QuorumDay} from './quorum_day';
import {findBrokenPromise} from './find_broken_promise';
import {STOPS} from './stops';
import {VerdictLedger} from './verdict_ledger';
import {VirtualFleet, VirtualMachine} from './virtual_machine';
import {VirtualCuts} from './virtual_cuts';
import {VirtualTime} from './virtual_time';

/**
 * Plays a day.
 *
 * @example
 * const {broken} = await playDay(drawDay(7));
 */
export function playDay(day: QuorumDay): Promise<DayResult> {
  return new Day(day).play();
}

class Day {
  private readonly time = VirtualTime.create();
  private readonly random: () => number;
  private readonly fleet: VirtualFleet;
  private machines: VirtualMachine[] = [];
  private removed = new Set<string>();
  private readonly cuts: VirtualCuts;
  private readonly troubledUntil = new Map<string, number>();
  private readonly ledger = LossLedger.create(LOSSES + 1);
  private readonly leaders = new Map<number, string>();
  private readonly story = DayStory.create(this.time, () =>
    this.machines.map(describeMachine),
  );
  private readonly verdicts = VerdictLedger.create();
  private seedsFrom = 0;
  private version = 0;
  private acked = 0;
  private ackedCount = 0;
  private isClosing = false;
  private isClosed = false;
  private closedAt = 0;
  private leaderAfterMs: number | undefined;

  constructor(private readonly day: QuorumDay) {
    this.random = createRandom(day.seed + 1_000_003);
    this.cuts = VirtualCuts.create(this.time);
    this.fleet = {
      net: {
        time: this.time,
        random: this.random,
        find: name => this.find(name)?.station,
        isCut: (from, to) => this.cuts.isCut(from, to),
      },
      random: this.random,
      voters: VOTERS,
      losses: LOSSES,
      onFailure: (name, error) =>
        this.story.fail(`${name} ended by itself: ${error.message}`),
      onRole: (name, {raft}) => {
        if (raft.role === 'leader') {
          this.recordLeader(this.find(name)?.station?.identity, raft.term);
        }
      },
    };
    for (let at = 0; at < VOTERS; at += 1) {
      this.machines.push(VirtualMachine.create(`m${at}`, this.fleet));
    }
  }

  async play(): Promise<DayResult> {
    const {time, day} = this;
    this.machines.forEach(machine => this.boot(machine, true));
    day.events.forEach(event => time.after(event.at, () => this.act(event)));
    time.after(LOOK_EVERY_MS, () => this.look());
    time.after(500, () => this.change());
    time.after(DAY_MS, () => {
      this.isClosing = day.endsOnAck;
    });
    time.after(DAY_MS + CLOSING_WAIT_MS, () => this.close());
    await time.runUntil(
      DAY_MS + CLOSING_WAIT_MS,
      () => this.isClosed || this.story.broken !== undefined,
    );
    if (this.story.broken === undefined) {
      await this.recover();
    }
    // Nothing of this day goes on.
    this.machines.forEach(machine => machine.kill());
    return {
      seed: day.seed,
      broken: this.story.broken,
      story: this.story.lines,
      acknowledged: this.ackedCount,
      leaderAfterMs: this.leaderAfterMs,
    };
  }

  /** All machines run again: a leader comes, knows all that was acknowledged, and takes changes. */
  private async recover(): Promise<void> {
    const {time} = this;
    const before = this.acked;
    const isBack = () =>
      this.leaderAfterMs !== undefined && this.acked > before;
    const isOver = () => this.story.broken !== undefined || isBack();
    await time.runUntil(time.now() + RECOVER_MS, isOver);
    if (this.leaderAfterMs === undefined) {
      this.story.fail(
        `no leader within ${RECOVER_MS} ms after all machines ran`,
      );
    } else if (this.acked === before) {
      this.story.fail(`no change was taken within ${RECOVER_MS} ms`);
    }
  }

  private act(event: DayEvent): void {
    return this.isClosed
      ? undefined
      : this.handlers[event.kind](event as never);
  }

  private readonly handlers: {
    [T in DayEvent['kind']]: (event: Extract<DayEvent, {kind: T}>) => void;
  } = {
    kill: ({machine, downMs}) =>
      this.stop([this.pick(machine)], downMs, 'kill'),
    power: ({machine, downMs}) =>
      this.stop([this.pick(machine)], downMs, 'power'),
    'power-all': ({downMs}) => this.stop(this.machines, downMs, 'power'),
    'kill-all': ({downMs}) => this.stop(this.machines, downMs, 'kill'),
    wipe: ({machine, downMs, isAimed}) => {
      if (this.ledger.count < LOSSES) {
        this.stop([this.pick(machine, isAimed)], downMs, 'wipe');
      }
    },
    replace: ({machine, afterMs}) => {
      if (this.ledger.count < LOSSES) {
        this.replace(this.pick(machine), afterMs);
      }
    },
    freeze: ({machine, forMs, isAimed}) => {
      const frozen = this.pick(machine, isAimed);
      const {suspends, stepPart} = this.day;
      const how = suspends
        ? `is suspended (time set by ${stepPart})`
        : 'stands still';
      this.story.tell(`${frozen.name} ${how} for ${forMs} ms`);
      this.trouble(frozen, forMs);
      if (suspends) {
        frozen.suspend(forMs, forMs * stepPart);
      } else {
        frozen.freeze(forMs);
      }
      // Before it does anything else, so that what it believes as it wakes is seen.
      this.time.after(forMs, () => this.checkAnswers(frozen));
    },
    cut: ({machine, forMs, how}) => {
      const cut = this.pick(machine);
      this.story.tell(`${cut.name} is cut off (${how}) for ${forMs} ms`);
      this.trouble(cut, forMs);
      this.cuts.separate([cut.name], this.listOthers([cut]), forMs, how);
    },
    split: ({machine, forMs}) => {
      const side = [this.pick(machine), this.pick(machine + 1)];
      this.story.tell(
        `${side.map(({name}) => name).join(' and ')} are cut from the others for ${forMs} ms`,
      );
      const names = side.map(({name}) => name);
      this.cuts.separate(names, this.listOthers(side), forMs);
      side.forEach(cut => this.trouble(cut, forMs));
    },
    stall: ({machine, forMs}) => {
      const slow = this.pick(machine);
      this.story.tell(`the disk of ${slow.name} stalls for ${forMs} ms`);
      this.trouble(slow, forMs);
      slow.stallDisk(forMs);
    },
    full: ({machine, forMs}) => {
      const full = this.pick(machine);
      this.story.tell(`the disk of ${full.name} has no room for ${forMs} ms`);
      this.trouble(full, forMs);
      full.fillDisk(true);
      this.time.after(forMs, () => full.fillDisk(false));
    },
    seeds: ({machine}) => {
      this.seedsFrom = machine;
      this.story.tell(`the seeds are ${this.listSeeds().join(', ')} now`);
    },
  };

  private stop(
    machines: readonly VirtualMachine[],
    downMs: number,
    how: keyof typeof STOPS,
  ): void {
    for (const machine of machines) {
      this.story.tell(
        `${machine.name}: ${STOPS[how].words}, back after ${downMs} ms`,
      );
      if (how === 'wipe') {
        this.ledger.recordLoss(machine.name);
      }
      STOPS[how].act(machine);
      this.time.after(downMs, () => this.boot(machine, false));
    }
  }

  private replace(old: VirtualMachine, afterMs: number): void {
    const name = `m${VOTERS + this.removed.size}`;
    this.story.tell(
      `${old.name} is removed, ${name} comes after ${afterMs} ms`,
    );
    const next = VirtualMachine.create(name, this.fleet);
    old.kill();
    this.removed.add(old.name);
    this.ledger.recordSuccessor(old.name, name);
    this.machines = this.machines.map(other => (other === old ? next : other));
    this.time.after(afterMs, () => this.boot(next, false));
  }

  private boot(machine: VirtualMachine, isFirstStart: boolean): void {
    if (!machine.isUp && !this.removed.has(machine.name)) {
      // All start within 300 ms of each other, in any order.
      const delayMs = this.random() * (isFirstStart ? 300 : 20);
      this.time.after(delayMs, () => {
        if (!machine.isUp && !this.removed.has(machine.name)) {
          void machine.boot(this.listSeeds(), isFirstStart);
        }
      });
    }
  }

  private listSeeds(): string[] {
    return Array.from(
      {length: SEEDS},
      (_, at) => this.machines[(this.seedsFrom + at) % VOTERS].name,
    );
  }

  /** The operator sends a change to the leader, whoever that is. */
  private change(): void {
    const everyMs = this.isClosed ? BUSY_EVERY_MS : this.day.changeEveryMs;
    this.time.after(everyMs * (0.5 + this.random()), () => this.change());
    const leader = this.machines.find(({runtime}) => runtime?.canServe());
    const {desk, runtime, station} = leader ?? {};
    if (!leader || !desk || !runtime || leader.isFrozen) {
      return;
    }
    const isAnswered = () => leader.station === station && runtime.canServe();
    this.version += 1;
    const version = this.version;
    if (version % CHANGES_PER_VERDICT === 0) {
      this.verdicts.convict(runtime, isAnswered);
    }
    desk.handlers['channel-bundle-ask']({
      type: 'channel-bundle-ask',
      call: version,
      bundle: createBundle(version),
    })
      .then(() => {
        if (isAnswered()) {
          this.recordAcked(version);
        }
      })
      .catch(() => undefined);
  }

  private recordAcked(version: number): void {
    this.acked = Math.max(this.acked, version);
    this.ackedCount += 1;
    if (this.isClosing) {
      this.close();
    }
  }

  private close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    const {closing, isAimed} = this.day;
    this.story.tell(
      `version ${this.acked} was acknowledged; the day ends: ${closing}`,
    );
    this.cuts.clear();
    const wiped = closing.startsWith('wipe')
      ? chooseWiped({
          machines: this.machines,
          count: LOSSES - this.ledger.count,
          isAimed,
          random: this.random,
        })
      : [];
    const others = this.machines.filter(machine => !wiped.includes(machine));
    this.stop(wiped, 600, 'wipe');
    if (closing !== 'wipe') {
      this.stop(others, 600, closing === 'kill-all' ? 'kill' : 'power');
    }
    this.machines.forEach(machine => {
      machine.freeze(0);
      machine.stallDisk(0);
      machine.fillDisk(false);
      this.time.after(700, () => this.boot(machine, false));
    });
    this.closedAt = this.time.now() + 700;
    this.time.after(700, () => this.change());
  }

  /** What must hold at every moment. */
  private look(): void {
    this.time.after(LOOK_EVERY_MS, () => this.look());
    const now = this.time.now();
    for (const machine of this.machines) {
      const isAnswering = this.checkAnswers(machine);
      if (isAnswering && this.isClosed && now >= this.closedAt) {
        this.leaderAfterMs ??= now - this.closedAt;
      }
    }
    this.ledger.look(
      this.machines.map(machine => ({
        name: machine.name,
        isWell:
          machine.runtime !== undefined &&
          now >= (this.troubledUntil.get(machine.name) ?? 0),
      })),
    );
  }

  /** True while a machine answers, and keeps its promises. */
  private checkAnswers(machine: VirtualMachine): boolean {
    if (!machine.runtime?.canServe() || machine.isFrozen) {
      return false;
    }
    const broken = findBrokenPromise(machine, this.acked, this.verdicts);
    return broken ? this.story.fail(broken) : true;
  }

  private recordLeader(identity = '', term: number): void {
    const known = this.leaders.get(term) ?? identity;
    if (known !== identity) {
      this.story.fail(`${known} and ${identity} both lead term ${term}`);
    }
    this.leaders.set(term, identity);
    this.story.tell(`${identity} leads term ${term}`);
  }

  private find(name: string): VirtualMachine | undefined {
    return this.machines.find(machine => machine.name === name);
  }

  private listOthers(side: readonly VirtualMachine[]): string[] {
    const others = this.machines.filter(other => !side.includes(other));
    return others.map(({name}) => name);
  }

  private pick(at: number, isLeader = false): VirtualMachine {
    const leader = this.machines.find(({runtime}) => runtime?.canServe());
    return (isLeader && leader) || this.machines[at % VOTERS];
  }

  private trouble({name}: VirtualMachine, forMs: number): void {
    const until = this.time.now() + forMs;
    const known = this.troubledUntil.get(name) ?? 0;
    this.troubledUntil.set(name, Math.max(until, known));
  }
}
