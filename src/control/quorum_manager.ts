/** Forms the first quorum and changes its voters one at a time. */
import {Clock} from '../common/clock';
import {systemTimers} from '../common/system_timers';
import {Cancel} from '../common/cancel';
import {Timers} from '../common/timers';
import {waitFor} from '../common/wait_for';
import {decideVoterChange} from '../coordination/agreement/decide_voter_change';
import {FormationMessage} from '../protocol/formation_message';
import {MessageOf} from '../protocol/message_of';
import {splitIdentity} from '../protocol/split_identity';
import {ControlDataFolder} from '../state/control_data_folder';
import {ControlConnections} from './control_connections';
import {ControlSettings} from './control_settings';
import {decideInitialVoters} from './decide_initial_voters';
import {RaftRuntime} from './raft_runtime';

const FORMATION_INTERVAL_MS = 100;
const VOTER_CHANGE_INTERVAL_MS = 250;
/**
 * A process that sent a request within this time is a candidate for a vote. Little more
 * than the interval between two probes: a quorum that gives a vote to a process that has
 * just ended may lack the majority to complete the change.
 */
const CANDIDATE_WITHIN_MS = 600;
/** Time without a message after which a voter may be replaced; longer than a restart takes. */
const REPLACE_AFTER_MS = 2_500;

/** A voter that has not responded for this time counts as silent; two probes are lost by then. */
const SILENT_AFTER_MS = 900;

type FormationResponse = MessageOf<FormationMessage, 'formation-answer'>;

/** Dependencies and callbacks of the manager. */
interface QuorumManagerOptions {
  readonly settings: ControlSettings;
  readonly disk: ControlDataFolder;
  readonly connections: Pick<
    ControlConnections,
    'add' | 'send' | 'listIdentities' | 'findLastActivityAt'
  >;
  readonly clock: Clock;
  readonly timers?: Timers;
  readonly findRuntime: () => RaftRuntime | undefined;
  /** Called when the disk is full; the write is retried until it succeeds. */
  readonly onDiskFull?: (error: Error) => void;
  /** Called with what failed in a round of work; the next round follows. Without it the error is thrown. */
  readonly onFault?: (work: string, error: Error) => void;
  /** Called once, when the data folder contains the voters of a quorum. */
  readonly onQuorum: (reason: {type: string; reason: string}) => void;
}

/** Forms or joins a quorum and manages its membership. */
export class QuorumManager {
  private readonly formationResponses = new Map<string, FormationResponse>();
  /** Times of the first and the last formation request of a process, by identity. */
  private readonly requestTimes = new Map<
    string,
    {readonly first: number; readonly last: number}
  >();
  /** Availability zones that control processes told, by identity. */
  private readonly zones = new Map<string, string>();
  private readonly timers: Timers;
  private readonly stopTicking: Cancel;
  private readonly startedAt: number;
  private isClosed = false;

  private constructor(private readonly options: QuorumManagerOptions) {
    this.startedAt = options.clock.now();
    this.recordZone(options.disk.identity, options.settings.zone);
    this.timers = options.timers ?? systemTimers;
    this.stopTicking = this.timers.repeat(VOTER_CHANGE_INTERVAL_MS, () =>
      this.tick(),
    );
  }

  /**
   * Creates a manager, which changes voters periodically while this process is leader.
   *
   * @example
   * const manager = QuorumManager.create({settings, disk, connections, clock, findRuntime, onQuorum});
   */
  static create(options: QuorumManagerOptions): QuorumManager {
    return new QuorumManager(options);
  }

  /** Returns the committed voters only, since a proposed change may still fail. */
  listVoters(): Record<string, string> | null {
    const {disk, findRuntime} = this.options;
    const runtime = findRuntime();
    if (!runtime) {
      return disk.snapshots.current?.voters ?? null;
    }
    return Object.fromEntries(runtime.raft.listCommittedVoters());
  }

  /**
   * Connects to every voter in the log. If restarted processes connected to the seeds
   * only, three of five voters could not elect a leader after a loss of the disks of two
   * seeds.
   */
  connectVoters(): void {
    const peers = this.options.findRuntime()?.raft.others ?? [];
    this.addConnections(peers.map(identity => splitIdentity(identity).name));
  }

  /** Responds with the known voters. In a seeded quorum the sender becomes a candidate for a vote. */
  handleFormationRequest({
    identity,
    zone,
  }: MessageOf<FormationMessage, 'formation-ask'>): FormationResponse {
    const {clock, disk} = this.options;
    this.recordZone(identity, zone);
    const last = clock.now();
    const first = this.requestTimes.get(identity)?.first ?? last;
    this.requestTimes.set(identity, {first, last});
    this.addConnections([splitIdentity(identity).name]);
    const voters = this.listVoters();
    return {type: 'formation-answer', identity: disk.identity, voters};
  }

  /** Connects to further seeds after a change of the settings. */
  addSeeds(seeds: readonly string[]): void {
    this.addConnections(seeds);
  }

  /** Records the voters that another process knows. */
  handleFormationResponse(from: string, response: FormationResponse): void {
    this.formationResponses.set(splitIdentity(from).name, response);
    this.addConnections(Object.keys(response.voters ?? {}));
  }

  /** Tries to form or join a quorum until it succeeds. Tries do not overlap, as they write the same file. */
  async runFormation(): Promise<void> {
    while (!this.options.findRuntime() && !this.isClosed) {
      await this.formOrJoin().catch((error: Error) =>
        this.handleDiskFull(error),
      );
      await waitFor(this.timers, FORMATION_INTERVAL_MS);
    }
  }

  close(): void {
    this.isClosed = true;
    this.stopTicking();
  }

  /** Reports a full disk, so that the write of the first snapshot is retried; rethrows other errors. */
  private handleDiskFull(error: Error): void {
    if (error.name !== 'DiskFull') {
      throw error;
    }
    this.options.onDiskFull?.(error);
  }

  private async formOrJoin(): Promise<void> {
    const {disk, connections, settings} = this.options;
    for (const identity of connections.listIdentities()) {
      connections.send(identity, {
        type: 'formation-ask',
        identity: disk.identity,
        zone: settings.zone,
      });
    }
    const voters = decideInitialVoters(
      disk.identity,
      this.listFoundingPeers(),
      this.formationResponses,
    );
    if (!voters) {
      return;
    }
    const state = new Uint8Array();
    await disk.snapshots.save({index: 0, term: 0, voters, state});
    const isVoter = voters[settings.name] === disk.identity;
    this.options.onQuorum({
      type: isVoter ? 'quorum-formed' : 'awaits-admission',
      reason: isVoter
        ? `formed a quorum with the voters ${Object.values(voters).join(', ')}`
        : 'joined an existing quorum in which this process is not a voter yet',
    });
  }

  /** Returns the names of the other founding processes; undefined if this process may only join a quorum. */
  private listFoundingPeers(): string[] | undefined {
    const {peers, seeded, name} = this.options.settings;
    if (!seeded) {
      return [...peers.keys()];
    }
    const isFounder = seeded.isFirstStart && seeded.seeds.includes(name);
    return isFounder ? seeded.seeds.filter(seed => seed !== name) : undefined;
  }

  /** Adds connections in a seeded quorum, where the name of a process is its address. */
  private addConnections(names: readonly string[]): void {
    const {settings, connections} = this.options;
    if (settings.seeded) {
      names
        .filter(name => name !== settings.name)
        .forEach(name => connections.add(name, name));
    }
  }

  /** Records the zones of the voters in the log: after a loss of all power nobody else knows that of a voter which is gone. */
  private async saveVoterZones(
    runtime: RaftRuntime,
    voters: ReadonlyMap<string, string>,
  ): Promise<void> {
    const zones: Record<string, string> = {};
    for (const identity of voters.values()) {
      const zone = this.findZone(runtime, identity);
      if (zone !== undefined) {
        zones[identity] = zone;
      }
    }
    const isChanged = Object.entries(zones).some(
      ([identity, zone]) => runtime.state.findVoterZone(identity) !== zone,
    );
    if (isChanged) {
      const time = Date.now();
      const command = {type: 'set-voter-zones' as const, time, zones};
      await runtime.propose(command).catch(() => undefined);
    }
  }

  private findZone(runtime: RaftRuntime, identity: string): string | undefined {
    return this.zones.get(identity) ?? runtime.state.findVoterZone(identity);
  }

  private recordZone(identity: string, zone: string | undefined): void {
    if (zone !== undefined) {
      this.zones.set(identity, zone);
    }
  }

  private tick(): void {
    this.connectVoters();
    this.changeVoters().catch((error: Error) => this.handleFault(error));
  }

  private handleFault(error: Error): void {
    const {onFault} = this.options;
    if (!onFault) {
      throw error;
    }
    onFault('change of voters', error);
  }

  private async changeVoters(): Promise<void> {
    const {connections, settings, findRuntime, clock} = this.options;
    const runtime = findRuntime();
    if (!runtime?.canServe() || runtime.raft.isChangingVoters) {
      return;
    }
    const now = clock.now();
    const {raft} = runtime;
    const voters = raft.listVotersAt(raft.commitIndex);
    await this.saveVoterZones(runtime, voters);
    const reachable = connections.listIdentities();
    const candidates = reachable.filter(
      identity =>
        !settings.seeded ||
        now - (this.requestTimes.get(identity)?.last ?? -Infinity) <
          CANDIDATE_WITHIN_MS,
    );
    const change = decideVoterChange({
      voters,
      candidates,
      target: settings.seeded?.voters ?? voters.size,
      isUnresponsive: identity => this.isUnresponsive(identity, reachable, now),
      findSilentSince: identity => this.findSilentSince(identity, now),
      findAppearedAt: identity =>
        this.requestTimes.get(identity)?.first ?? this.startedAt,
      findZone: identity => this.findZone(runtime, identity),
      now,
    });
    if (change) {
      const command = {type: 'set-voter' as const, time: Date.now(), ...change};
      await runtime.propose(command).catch(() => undefined);
    }
  }

  /**
   * Returns whether a voter is gone or has not sent a message for too long. It is gone
   * if a process with another disk responds under its name.
   */
  private isUnresponsive(
    identity: string,
    reachable: readonly string[],
    now: number,
  ): boolean {
    if (identity === this.options.disk.identity) {
      return false;
    }
    const {name} = splitIdentity(identity);
    const connected = reachable.find(
      other => splitIdentity(other).name === name,
    );
    if (connected !== undefined) {
      return connected !== identity;
    }
    return now - this.getLastActivityAt(identity) > REPLACE_AFTER_MS;
  }

  /** Returns when a voter last responded, if it has missed two probes since; undefined otherwise. */
  private findSilentSince(identity: string, now: number): number | undefined {
    const isOwn = identity === this.options.disk.identity;
    const lastActivityAt = this.getLastActivityAt(identity);
    const isSilent = !isOwn && now - lastActivityAt > SILENT_AFTER_MS;
    return isSilent ? lastActivityAt : undefined;
  }

  /** Replication and probes both count: heartbeats are more frequent, but only the leader's. */
  private getLastActivityAt(identity: string): number {
    const {connections, findRuntime} = this.options;
    const probedAt = connections.findLastActivityAt(identity) ?? this.startedAt;
    const contactAt = findRuntime()?.raft.findLastContactAt(identity);
    return Math.max(probedAt, contactAt ?? -Infinity);
  }
}
