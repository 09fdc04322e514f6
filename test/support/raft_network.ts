/** Raft nodes with a simulated network, simulated disks and a virtual clock. */
import {RaftEffects} from '../../src/coordination/agreement/raft_effects';
import {RaftEvent} from '../../src/coordination/agreement/raft_event';
import {RaftLog} from '../../src/coordination/agreement/raft_log';
import {RaftNode} from '../../src/coordination/agreement/raft_node';
import {ControlCommand} from '../../src/protocol/control_command';
import {LogEntry} from '../../src/protocol/log_entry';
import {RaftMessage} from '../../src/protocol/raft_message';

const TIMING = {heartbeatMs: 50, electionMs: 300, leaseMs: 225};

interface MessageInFlight {
  readonly from: string;
  readonly to: string;
  readonly message: RaftMessage;
}

/** The state that survives a crash. */
interface Disk {
  term: number;
  votedFor: string | undefined;
  entries: LogEntry[];
  /** Entries up to here were known to be committed when they were written. */
  commitIndex?: number;
}

/** A node, its disk and the entries that it applied. */
interface Member {
  node: RaftNode;
  disk: Disk;
  unsynced: Array<{
    persist: RaftEffects['persist'];
    messages: RaftEffects['messages'];
    /** The commit index at that time, which is written together with entries. */
    commitIndex: number;
  }>;
  applied: LogEntry[];
  isUp: boolean;
}

/** Steps the nodes; the test chooses the order of all events. */
export class RaftNetwork {
  now = 0;
  readonly members = new Map<string, Member>();
  readonly messagesInFlight: MessageInFlight[] = [];
  /** Every leader seen so far, by term. */
  readonly leaders = new Map<number, string>();
  /** Every entry committed so far on any node, by index. */
  readonly committed = new Map<number, string>();
  private readonly cuts = new Set<string>();

  private constructor(
    private readonly voters: readonly string[],
    private readonly random: () => number,
  ) {
    for (const identity of voters) {
      const disk: Disk = {term: 0, votedFor: undefined, entries: []};
      this.members.set(identity, this.startMember(identity, disk));
    }
  }

  static create(
    identities: readonly string[],
    random: () => number,
  ): RaftNetwork {
    return new RaftNetwork(identities, random);
  }

  /** Adds a node with this disk, or replaces the one of this identity. */
  addNode(identity: string, disk: Disk): void {
    this.members.set(identity, this.startMember(identity, disk));
  }

  /** Advances time, syncs all disks and delivers all messages. */
  run(ms: number): void {
    for (let passed = 0; passed < ms; passed += 20) {
      this.tick(20);
      for (let count = 0; count < 50 && this.deliverAll(); count += 1);
    }
  }

  get identities(): string[] {
    return [...this.members.keys()];
  }

  /** Advances time at every node that is up. */
  tick(ms: number): void {
    this.now += ms;
    for (const identity of this.identities) {
      this.step(identity, {type: 'tick'});
    }
  }

  propose(identity: string, command: ControlCommand | number): void {
    const isTime = typeof command === 'number';
    const commands = [
      isTime ? {type: 'start-term' as const, time: command} : command,
    ];
    this.step(identity, {type: 'propose', commands});
  }

  /** Delivers one message in messageInFlight; a cut link drops it. `isKept` leaves it in messageInFlight, to be delivered again. */
  deliver(at: number, isKept = false): void {
    const messageInFlight = this.messagesInFlight[at];
    if (!isKept) {
      this.messagesInFlight.splice(at, 1);
    }
    const {from, to, message} = messageInFlight;
    if (!this.cuts.has(`${from}>${to}`)) {
      this.step(to, {type: 'message', from, message});
    }
  }

  /** Writes all pending changes of a node to its disk and sends the messages that waited for them. */
  sync(identity: string): void {
    const member = this.get(identity);
    const jobs = member.unsynced;
    member.unsynced = [];
    for (const {persist, messages, commitIndex} of jobs) {
      write(member.disk, persist, commitIndex);
      this.sendAll(identity, messages);
    }
    const last = jobs.flatMap(job => job.persist?.entries ?? []).at(-1);
    if (last) {
      this.step(identity, {
        type: 'persisted',
        index: last.index,
        term: last.term,
      });
    }
  }

  crash(identity: string): void {
    const member = this.get(identity);
    member.isUp = false;
    member.unsynced = [];
  }

  restart(identity: string): void {
    const {disk} = this.get(identity);
    this.members.set(identity, this.startMember(identity, disk));
  }

  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  heal(): void {
    this.cuts.clear();
  }

  /** Runs without faults until every node has committed a new entry; false when that takes too long. */
  runUntilCommitted(): boolean {
    this.heal();
    for (const [identity, member] of this.members) {
      if (!member.isUp) {
        this.restart(identity);
      }
    }
    const target = Math.max(...this.committed.keys(), 0) + 1;
    const isLeading = (name: string) => this.get(name).node.role === 'leader';
    for (let round = 0; round < 400; round += 1) {
      this.tick(20);
      this.identities
        .filter(isLeading)
        .forEach(name => this.propose(name, round));
      for (let count = 0; count < 50; count += 1) {
        this.identities.forEach(identity => this.sync(identity));
        if (this.messagesInFlight.length === 0) {
          break;
        }
        this.deliver(0);
      }
      const isDone = [...this.members.values()].every(
        ({node}) => node.commitIndex >= target,
      );
      if (isDone) {
        return true;
      }
    }
    return false;
  }

  get(identity: string): Member {
    const member = this.members.get(identity);
    if (!member) {
      throw new Error(`no node ${identity}`);
    }
    return member;
  }

  /** Syncs all disks and delivers the messages in messageInFlight; false when there were none. */
  private deliverAll(): boolean {
    this.identities.forEach(identity => this.sync(identity));
    const count = this.messagesInFlight.length;
    for (let done = 0; done < count; done += 1) {
      this.deliver(0);
    }
    return count > 0;
  }

  private startMember(identity: string, disk: Disk): Member {
    const voters = new Map(this.voters.map(name => [name, name]));
    const node = RaftNode.create({
      identity,
      log: RaftLog.create({index: 0, term: 0, voters}, disk.entries),
      term: disk.term,
      votedFor: disk.votedFor,
      commitIndex: 0,
      knownCommitIndex: disk.commitIndex,
      timing: TIMING,
      random: this.random,
      readSnapshot: () => new Uint8Array(),
      now: this.now,
    });
    return {node, disk, unsynced: [], applied: [], isUp: true};
  }

  private step(identity: string, event: RaftEvent): void {
    const member = this.get(identity);
    if (!member.isUp) {
      return;
    }
    const effects = member.node.step(event, this.now);
    this.sendAll(identity, effects.messages);
    if (effects.persist || effects.messagesAfterPersist.length > 0) {
      member.unsynced.push({
        persist: effects.persist,
        messages: effects.messagesAfterPersist,
        commitIndex: member.node.commitIndex,
      });
    }
    member.applied.push(...effects.committedEntries);
    this.record(identity, effects);
  }

  private record(identity: string, effects: RaftEffects): void {
    const {node} = this.get(identity);
    if (node.role === 'leader') {
      const known = this.leaders.get(node.term) ?? identity;
      if (known !== identity) {
        throw new Error(
          `two leaders in term ${node.term}: ${known} and ${identity}`,
        );
      }
      this.leaders.set(node.term, identity);
    }
    for (const entry of effects.committedEntries) {
      const text = JSON.stringify(entry);
      const known = this.committed.get(entry.index) ?? text;
      if (known !== text) {
        throw new Error(
          `entry ${entry.index} was committed as ${known} and as ${text}`,
        );
      }
      this.committed.set(entry.index, text);
    }
  }

  private sendAll(from: string, messages: RaftEffects['messages']): void {
    // Copied as if serialized, so that a receiver never shares an object with a sender.
    messages.forEach(({to, message}) => {
      this.messagesInFlight.push({from, to, message: structuredClone(message)});
    });
  }
}

function write(
  disk: Disk,
  persist: RaftEffects['persist'],
  commitIndex: number,
): void {
  if (!persist) {
    return;
  }
  if (persist.hardState) {
    disk.term = persist.hardState.term;
    disk.votedFor = persist.hardState.votedFor;
  }
  const from = persist.truncateFrom;
  if (from !== undefined) {
    disk.entries = disk.entries.filter(entry => entry.index < from);
  }
  if (persist.entries.length > 0) {
    disk.commitIndex = Math.max(disk.commitIndex ?? 0, commitIndex);
  }
  disk.entries.push(...persist.entries);
}
