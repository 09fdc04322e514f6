/** Plays one day on the real quorum code and checks its promises. */
import {createRandom} from '../support/create_random';
import {chooseWiped} from './choose_wiped';
import {describeMachine} from './describe_machine';
import {LossLedger} from './loss_ledger';
import {
  BUSY_EVERY_MS,
  CLOSING_WAIT_MS,
  DISTURBED_MS,
  LEADER_WITHIN_MS,
  LOOK_EVERY_MS,
  LOSSES,
  RECOVER_MS,
  SEEDS,
  VOTERS,
  ZONES,
} from './day_limits';
import {DayOperator} from './day_operator';
import {DayResult} from './day_result';
import {DayStory} from './day_story';
import {LinkFaults} from './link_faults';
import {DAY_MS, DayEvent, QuorumDay} from './quorum_day';
import {RecoveryWatch} from './recovery_watch';
import {findBrokenPromise} from './find_broken_promise';
import {STOPS} from './stops';
import {createTroubleHandlers} from './trouble_handlers';
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
  private readonly verdicts: VerdictLedger;
  private readonly operator: DayOperator;
  private seedsFrom = 0;
  private acked = 0;
  private ackedCount = 0;
  private isClosing = false;
  private isClosed = false;
  private closedAt = 0;
  private watch: RecoveryWatch | undefined;
  private readonly linkFaults: LinkFaults;
  private readonly handlers: ReturnType<Day['createHandlers']>;
  private leaderAfterMs: number | undefined;

  constructor(private readonly day: QuorumDay) {
    this.random = createRandom(day.seed + 1_000_003);
    this.cuts = VirtualCuts.create(this.time);
    this.linkFaults = LinkFaults.create(
      this.time,
      this.random,
      name => this.find(name)?.isDark ?? true,
    );
    this.fleet = {
      net: {
        time: this.time,
        random: this.random,
        faults: day.recovery && this.linkFaults,
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
      const zone = `zone-${at % ZONES}`;
      this.machines.push(VirtualMachine.create(`m${at}`, zone, this.fleet));
    }
    this.verdicts = VerdictLedger.create(day);
    this.handlers = this.createHandlers();
    this.operator = DayOperator.create({
      time: this.time,
      random: this.random,
      verdicts: this.verdicts,
      listMachines: () => this.machines,
      findIntervalMs: () => (this.isClosed ? BUSY_EVERY_MS : day.changeEveryMs),
      onAcked: version => this.recordAcked(version),
    });
  }

  async play(): Promise<DayResult> {
    const {time, day} = this;
    this.machines.forEach(machine => this.boot(machine, true));
    day.events.forEach(event =>
      time.after(event.at, () => {
        if (!this.isClosed) {
          this.act(event);
        }
      }),
    );
    time.after(LOOK_EVERY_MS, () => this.look());
    time.after(500, () => this.operator.change());
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
      evacuations: this.verdicts.evacuations?.acknowledged,
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
    const disturbedMs = this.day.recovery ? DISTURBED_MS : 0;
    await time.runUntil(time.now() + disturbedMs + RECOVER_MS, isOver);
    if (this.leaderAfterMs === undefined) {
      this.story.fail(
        `no leader within ${RECOVER_MS} ms after all machines ran`,
      );
    } else if (this.watch && this.leaderAfterMs > LEADER_WITHIN_MS) {
      this.story.fail(
        `a leader ${this.leaderAfterMs} ms after the last survivor listened`,
      );
    } else if (this.acked === before) {
      this.story.fail(`no change was taken within ${RECOVER_MS} ms`);
    }
  }

  private act(event: DayEvent): void {
    this.handlers[event.kind](event as never);
  }

  private createHandlers(): {
    [T in DayEvent['kind']]: (event: Extract<DayEvent, {kind: T}>) => void;
  } {
    return {
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
      seeds: ({machine}) => {
        this.seedsFrom = machine;
        this.story.tell(`the seeds are ${this.listSeeds().join(', ')} now`);
      },
      ...createTroubleHandlers({
        day: this.day,
        time: this.time,
        story: this.story,
        cuts: this.cuts,
        linkFaults: this.linkFaults,
        pick: (at, isLeader) => this.pick(at, isLeader),
        trouble: (machine, forMs) => this.trouble(machine, forMs),
        listOthers: side => this.listOthers(side),
        checkAnswers: machine => this.checkAnswers(machine),
      }),
    };
  }

  private stop(
    machines: readonly VirtualMachine[],
    down: number | readonly number[],
    how: keyof typeof STOPS,
  ): void {
    for (const machine of machines) {
      const place = this.machines.indexOf(machine);
      const downMs = typeof down === 'number' ? down : down[place];
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
    const next = VirtualMachine.create(name, old.zone, this.fleet);
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
    this.stop(wiped, this.day.recovery?.downMs ?? 600, 'wipe');
    if (closing !== 'wipe') {
      const how = closing === 'kill-all' ? 'kill' : 'power';
      this.stop(others, this.day.recovery?.downMs ?? 600, how);
    }
    const returnMs = Math.max(600, ...(this.day.recovery?.downMs ?? [])) + 100;
    this.machines.forEach(machine => {
      machine.freeze(0);
      machine.stallDisk(0);
      machine.fillDisk(false);
      this.time.after(returnMs, () => this.boot(machine, false));
    });
    this.disturbRecovery();
    this.closedAt = this.time.now() + returnMs;
    this.time.after(returnMs, () => this.operator.change());
  }

  private disturbRecovery(): void {
    const events = this.day.recovery?.events;
    if (events) {
      this.watch = RecoveryWatch.create(this.time.now(), events);
      events.forEach(event => this.time.after(event.at, () => this.act(event)));
    }
  }

  /** The moment from which the time to a leader counts; undefined before it. */
  private findCalmAt(): number | undefined {
    if (!this.isClosed || !this.watch) {
      return this.isClosed ? this.closedAt : undefined;
    }
    return this.watch.findCalmAt({
      machines: this.machines,
      isLost: name => this.ledger.isLost(name),
      troubledUntil: this.troubledUntil,
    });
  }

  /** What must hold at every moment. */
  private look(): void {
    this.time.after(LOOK_EVERY_MS, () => this.look());
    const now = this.time.now();
    const calmAt = this.findCalmAt();
    for (const machine of this.machines) {
      if (this.checkAnswers(machine) && calmAt !== undefined && now >= calmAt) {
        this.leaderAfterMs ??= now - calmAt;
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
