/** The replicated state machine: all tables, built by applying the commands of the log in order. */
import {Decoder, Encoder} from 'cbor-x';
import {ControlCommand} from '../protocol/control_command';
import {LogEntry} from '../protocol/log_entry';
import {MessageOf} from '../protocol/message_of';
import {BundleTable} from './bundle_table';
import {ChannelBundleTable} from './channel_bundle_table';
import {ClaimTable} from './claim_table';
import {ClusterSnapshot} from './cluster_snapshot';
import {CommandResult} from './command_result';
import {EngineGroupTable} from './engine_group_table';
import {EvacuationTable} from './evacuation_table';
import {GroupTable} from './group_table';
import {Journal} from './journal';
import {JournalEntry} from './journal_entry';
import {RetryLoanTable} from './retry_loan_table';
import {SuspectTable} from './suspect_table';

const MS_PER_MINUTE = 60_000;
const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false, mapsAsObjects: true});

type Handlers = {
  [T in ControlCommand['type']]: (
    command: MessageOf<ControlCommand, T>,
    index: number,
  ) => CommandResult;
};
type JournalNote = Omit<JournalEntry, 'index' | 'time' | 'details'> & {
  details?: JournalEntry['details'];
};

/** The state that all control processes derive from the same log. */
export class ClusterState {
  readonly bundles: BundleTable;
  readonly groups: GroupTable;
  readonly claims: ClaimTable;
  readonly channel: ChannelBundleTable;
  readonly engines: EngineGroupTable;
  readonly suspects: SuspectTable;
  readonly evacuations: EvacuationTable;
  readonly retryLoans: RetryLoanTable;
  private readonly drained: Set<string>;
  private voterZones: Readonly<Record<string, string>>;
  private readonly journal: Journal;
  private committedTime: number;

  private constructor(snapshot: ClusterSnapshot | undefined) {
    this.bundles = BundleTable.create(snapshot?.bundles);
    this.groups = GroupTable.create(snapshot?.groups);
    this.claims = ClaimTable.create(snapshot?.claims);
    this.channel = ChannelBundleTable.create(snapshot?.channel ?? undefined);
    this.engines = EngineGroupTable.create(snapshot?.engines ?? undefined);
    this.suspects = SuspectTable.create(snapshot?.suspects ?? undefined);
    this.evacuations = EvacuationTable.create(
      snapshot?.evacuations ?? undefined,
    );
    this.retryLoans = RetryLoanTable.create(snapshot?.retryLoans ?? undefined);
    this.drained = new Set(snapshot?.drained);
    this.voterZones = snapshot?.voterZones ?? {};
    this.journal = Journal.create(snapshot?.journal);
    this.committedTime = snapshot?.time ?? 0;
  }

  /**
   * Creates empty tables, or those of a snapshot.
   *
   * @example
   * const state = ClusterState.create();
   * state.apply(entry);
   */
  static create(snapshot?: Uint8Array): ClusterState {
    const isEmpty = !snapshot || snapshot.length === 0;
    return new ClusterState(
      isEmpty ? undefined : ClusterSnapshot.parse(decoder.decode(snapshot)),
    );
  }

  /** Highest wall-clock milliseconds of any applied command; never decreases. */
  get time(): number {
    return this.committedTime;
  }

  /** Incremented by each change of a bundle, a group, a suspect or an evacuation. */
  get changeCount(): number {
    return (
      this.groups.version +
      this.bundles.version +
      this.channel.version +
      this.engines.version +
      this.suspects.version +
      this.evacuations.version
    );
  }

  /** Whether an operator is draining this host. */
  isDrained(hostId: string): boolean {
    return this.drained.has(hostId);
  }

  /** Returns the recorded availability zone of a voter; undefined if there is none. */
  findVoterZone(identity: string): string | undefined {
    return this.voterZones[identity];
  }

  /** Lists journal entries after an index, oldest first, filtered by subject and id if given. */
  listJournal(filter: Parameters<Journal['list']>[0]): JournalEntry[] {
    return this.journal.list(filter);
  }

  /** Applies one committed log entry. */
  apply(entry: LogEntry): CommandResult {
    const {command, index} = entry;
    this.committedTime = Math.max(this.committedTime, command.time);
    return this.handlers[command.type](command as never, index);
  }

  /** Encodes all tables for a snapshot. */
  save(): Uint8Array {
    return encoder.encode({
      time: this.committedTime,
      bundles: this.bundles.save(),
      groups: this.groups.save(),
      claims: this.claims.save(),
      drained: [...this.drained],
      journal: this.journal.save(),
      channel: this.channel.save(),
      engines: this.engines.save(),
      suspects: this.suspects.save(),
      evacuations: this.evacuations.save(),
      retryLoans: this.retryLoans.save(),
      voterZones: this.voterZones,
    });
  }

  private readonly handlers: Handlers = {
    'start-term': () => ({isAccepted: true, reason: 'started'}),
    'settle-voters': () => ({isAccepted: true, reason: 'settled'}),
    'set-voter': (command, index) => {
      const reason = command.replaces
        ? `${command.identity} takes the place of ${command.replaces}`
        : `${command.name} votes as ${command.identity}`;
      this.recordJournalEntry(index, {
        type: 'voter-replaced',
        subject: 'control',
        id: command.name,
        reason,
      });
      return {isAccepted: true, reason};
    },
    'set-voter-zones': ({zones}) => {
      this.voterZones = zones;
      return {isAccepted: true, reason: 'recorded'};
    },
    'set-evacuation': (command, index) => this.setEvacuation(command, index),
    'roll-out': (command, index) => this.rollOut(command, index),
    'accept-channel-bundle': ({bundle}, index) => {
      const result = this.channel.accept(bundle);
      if (result.isAccepted) {
        const reason = `came in over the channel ${bundle.channel}, unsigned`;
        const id = String(bundle.rules.version);
        const type = 'bundle-accepted';
        this.recordJournalEntry(index, {type, subject: 'bundle', id, reason});
      }
      return result;
    },
    'retire-backend': ({incarnation: id, reason}, index) => {
      const isNew = !this.engines.isRetired(id);
      const result = this.engines.retire(id);
      if (isNew) {
        const type = 'backend-retired';
        this.recordJournalEntry(index, {type, subject: 'host', id, reason});
      }
      return result;
    },
    'set-engine-group': ({group, reason}, index) => {
      const result = this.engines.set({...group, epoch: index});
      this.recordJournalEntry(index, {
        type: result.isAccepted ? 'group-set' : 'group-refused',
        subject: 'group',
        id: group.name,
        reason: result.isAccepted ? reason : result.reason,
        details: {
          epoch: index,
          members: group.members.map(member => member.incarnation).join(' '),
        },
      });
      return result;
    },
    'end-engine-group': ({name, epoch, reason}, index) => {
      const result = this.engines.markEnding(name, epoch);
      const change = {groupId: name, reason};
      return this.recordGroupChange(index, 'group-ending', change, result);
    },
    'release-engine-group': ({name, epoch, reason}, index) => {
      const result = this.engines.markReleased(name, epoch);
      const change = {groupId: name, reason};
      return this.recordGroupChange(index, 'group-released', change, result);
    },
    'remove-engine-group': ({name, epoch, reason}, index) => {
      const result = this.engines.remove(name, epoch);
      const change = {groupId: name, reason};
      return this.recordGroupChange(index, 'group-removed', change, result);
    },
    'set-group': (command, index) => this.setGroup(command, index),
    'remove-group': (command, index) => {
      const result = this.groups.remove(command.groupId, command.epoch);
      return this.recordGroupChange(index, 'group-removed', command, result);
    },
    'drain-group': (command, index) => {
      const result = this.groups.drain(command.groupId, command.epoch);
      return this.recordGroupChange(index, 'group-draining', command, result);
    },
    'drain-host': (command, index) => this.drainHost(command, index),
    'record-suspects': (command, index) => this.recordSuspects(command, index),
    'begin-trial': (command, index) => {
      const trial = this.suspects.beginTrial(command, this.committedTime);
      this.recordVerdictChanges(index);
      return {isAccepted: trial === 'granted', reason: trial, trial};
    },
    'withdraw-crash': ({incarnation}, index) => {
      this.suspects.withdrawCrash(incarnation);
      this.recordVerdictChanges(index);
      return {isAccepted: true, reason: 'it lives'};
    },
    'lend-retries': (command, index) => {
      const lent = this.retryLoans.lend({...command, id: index});
      const isAccepted = lent > 0;
      return {isAccepted, reason: isAccepted ? 'lent' : 'none is left', lent};
    },
    'lift-verdict': ({name, keyId}, index) => {
      const reason = `ordered by the operator with key ${keyId}`;
      const isAccepted = this.suspects.revokeVerdict(name, reason);
      this.recordVerdictChanges(index);
      return {isAccepted, reason: isAccepted ? reason : 'no such verdict'};
    },
    claim: command => {
      const keepMs =
        (this.bundles.bundle?.onceOnly.keepMinutes ?? 0) * MS_PER_MINUTE;
      this.claims.expire(this.committedTime - keepMs);
      const verdict = this.claims.claim(command);
      return {
        isAccepted: verdict.status === 'granted',
        reason: verdict.status,
        verdict,
      };
    },
    'resolve-claim': command => {
      const isAccepted = this.claims.resolve(command);
      return {
        isAccepted,
        reason: isAccepted ? 'recorded' : 'an earlier outcome stands',
      };
    },
  };

  private setEvacuation(
    {
      zone,
      isEvacuated,
      requestedBy,
    }: MessageOf<ControlCommand, 'set-evacuation'>,
    index: number,
  ): CommandResult {
    const {evacuations, committedTime: since} = this;
    const {version} = evacuations;
    const result = isEvacuated
      ? evacuations.evacuate({zone, requestedBy, since})
      : evacuations.restore(zone, requestedBy);
    if (evacuations.version !== version) {
      this.recordJournalEntry(index, {
        type: isEvacuated ? 'zone-evacuated' : 'zone-restored',
        subject: 'zone',
        id: zone,
        reason: result.reason,
      });
    }
    return result;
  }

  private recordSuspects(
    command: MessageOf<ControlCommand, 'record-suspects'>,
    index: number,
  ): CommandResult {
    for (const crash of command.crashes) {
      // A retired backend server has announced its shutdown, so its end is no crash.
      if (!this.engines.isRetired(crash.incarnation)) {
        this.suspects.recordCrash(crash, this.committedTime);
      }
    }
    command.released.forEach(name => this.suspects.endTrial(name));
    command.cleared.forEach(name => this.suspects.clearSuspect(name));
    this.recordVerdictChanges(index);
    return {isAccepted: true, reason: 'recorded'};
  }

  private recordVerdictChanges(index: number): void {
    for (const {name: id, type, reason} of this.suspects.takeVerdictChanges()) {
      this.recordJournalEntry(index, {type, subject: 'request', id, reason});
    }
  }

  private rollOut(
    command: MessageOf<ControlCommand, 'roll-out'>,
    index: number,
  ): CommandResult {
    const before = this.bundles.version;
    const result = this.bundles.rollOut(command.bundle, command.time);
    const isNew = this.bundles.version !== before;
    if (isNew || !result.isAccepted) {
      this.recordJournalEntry(index, {
        type: result.isAccepted ? 'bundle-accepted' : 'bundle-refused',
        subject: 'bundle',
        id: String(result.isAccepted ? this.bundles.version : before + 1),
        reason: result.reason,
        details: {keyId: command.bundle.keyId},
      });
    }
    return result;
  }

  private setGroup(
    command: MessageOf<ControlCommand, 'set-group'>,
    index: number,
  ): CommandResult {
    const group = {...command.group, fencing: index};
    const result = this.groups.set(group);
    this.recordJournalEntry(index, {
      type: result.isAccepted ? 'group-set' : 'group-refused',
      subject: 'group',
      id: group.id,
      reason: result.isAccepted ? command.reason : result.reason,
      details: {
        epoch: group.epoch,
        members: group.members.map(member => member.hostId).join(' '),
        isDraining: group.isDraining,
      },
    });
    return result;
  }

  private recordGroupChange(
    index: number,
    type: string,
    change: {groupId: string; reason: string},
    result: CommandResult,
  ): CommandResult {
    if (result.isAccepted) {
      const {groupId: id, reason} = change;
      this.recordJournalEntry(index, {type, subject: 'group', id, reason});
    }
    return result;
  }

  private drainHost(
    command: MessageOf<ControlCommand, 'drain-host'>,
    index: number,
  ): CommandResult {
    const {hostId, isDraining, keyId} = command;
    if (isDraining) {
      this.drained.add(hostId);
    } else {
      this.drained.delete(hostId);
    }
    const type = isDraining ? 'host-drained' : 'host-undrained';
    const reason = `ordered by the operator with key ${keyId}`;
    this.recordJournalEntry(index, {
      type,
      subject: 'host',
      id: hostId,
      reason,
      details: {keyId},
    });
    return {isAccepted: true, reason};
  }

  private recordJournalEntry(index: number, note: JournalNote): void {
    this.journal.record({...note, index, time: this.committedTime});
  }
}
