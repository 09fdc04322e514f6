/** The process next to one backend server: takes part in a group, fences the backend server, and runs attempts on it. */
import {randomBytes} from 'node:crypto';
import {EventRing} from '../common/event_ring';
import {LeaseClock} from '../common/lease_clock';
import {recordPause} from '../common/record_pause';
import {ServerAddress} from '../common/server_address';
import {ShutdownSchedule} from '../common/shutdown_schedule';
import {systemClock} from '../common/system_clock';
import {checkDispatch} from '../coordination/requests/check_dispatch';
import {Bundle} from '../protocol/bundle';
import {ControlClient} from '../protocol/control_client';
import {ControlMessage} from '../protocol/control_message';
import {Group} from '../protocol/group';
import {HostReport} from '../protocol/host_report';
import {MessageOf} from '../protocol/message_of';
import {Peer} from '../protocol/peer';
import {RequestMessage} from '../protocol/request_message';
import {FrameConnection} from '../transport/frame_connection';
import {FrameServer} from '../transport/frame_server';
import {BackendHttpClient} from '../transport/backend_http_client';
import {HttpListener} from '../transport/http_listener';
import {listenForAnnouncements} from './listen_for_announcements';
import {LocalBackend} from './local_backend';
import {ControlSession} from './control_session';
import {EngineController} from './engine_controller';
import {GroupMember} from './group_member';
import {HostSettings} from './host_settings';
import {AttemptRunner} from './attempt_runner';

const CHECK_INTERVAL_MS = 50;
/** Milliseconds that a stopping host waits, after its last attempt, for control to release it. */
const RELEASE_TIMEOUT_MS = 10_000;
const DRAIN_POLL_INTERVAL_MS = 50;

/** A running host process. */
export class HostServer {
  /** Recent events of this process, kept in memory. */
  readonly events = EventRing.create();
  private readonly incarnation = randomBytes(8).toString('hex');
  private readonly clock = systemClock;
  /** For leases and start-by times, which must also pass while the machine is suspended. */
  private readonly leaseClock = LeaseClock.create({
    monotonic: systemClock,
    wall: () => Date.now(),
    onPause: pause =>
      recordPause(this.events, 'host', this.settings.hostId, pause),
  });
  private readonly backendClient = BackendHttpClient.create();
  private readonly localBackend = LocalBackend.create(this.clock);
  private readonly engine: EngineController;
  private readonly member: GroupMember;
  private readonly runner: AttemptRunner;
  private readonly timers: NodeJS.Timeout[] = [];
  private session: ControlSession | undefined;
  private server: FrameServer | undefined;
  private announceListener: HttpListener | undefined;
  private bundle: Bundle | undefined;
  private isLeaving = false;
  private wasServing = false;

  private constructor(private readonly settings: HostSettings) {
    this.engine = EngineController.create({
      hostId: settings.hostId,
      backend: this.backendClient,
      findUrl: () => this.localBackend.current?.url,
    });
    this.member = GroupMember.create({
      hostId: settings.hostId,
      identity: this.identity,
      clock: this.clock,
      leaseClock: this.leaseClock,
      engine: this.engine,
      security: settings.security,
    });
    this.runner = AttemptRunner.create({
      incarnation: this.incarnation,
      clock: this.leaseClock,
      events: this.events,
      backend: this.backendClient,
      findBackendUrl: () => this.localBackend.current?.url,
      findRefusalReason: (dispatch, now) =>
        this.findRefusalReason(dispatch, now),
      findStopReason: dispatch => this.member.findStopReason(dispatch),
    });
  }

  /**
   * Listens for its backend server, entries and other members, and reports to control.
   *
   * @throws TransportError when an address cannot be bound
   * @example
   * const host = await HostServer.create(settings);
   */
  static async create(settings: HostSettings): Promise<HostServer> {
    const host = new HostServer(settings);
    await host.start();
    return host;
  }

  /** The port for entries and other members. */
  get port(): number {
    return this.server?.port ?? 0;
  }

  /** The port where the backend server announces itself. */
  get announcePort(): number {
    return this.announceListener?.port ?? 0;
  }

  /**
   * Shuts down gracefully: refuses new attempts, lets running ones finish, waits
   * until control has released the host, then stops. Attempts that still run when
   * the time for the stop is over are stopped, and their entries are told.
   */
  async drain(): Promise<void> {
    const {clock, runner} = this;
    this.isLeaving = true;
    this.record('leaving', 'shutdown was requested');
    this.session?.reportNow();
    const schedule = ShutdownSchedule.create({
      timeoutMs: this.settings.stopWithinMs,
    });
    schedule.start(clock.now());
    let releaseBy = clock.now() + RELEASE_TIMEOUT_MS;
    const isReleased = () => this.member.group === null;
    while (
      !schedule.isTimeUp(clock.now()) &&
      (runner.runningCount > 0 || (!isReleased() && clock.now() < releaseBy))
    ) {
      if (runner.runningCount > 0) {
        releaseBy = clock.now() + RELEASE_TIMEOUT_MS;
      }
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_INTERVAL_MS));
    }
    if (runner.runningCount > 0) {
      const reason = 'the time for the stop is over';
      this.record(
        'work-given-up',
        `${runner.runningCount} requests: ${reason}`,
      );
      runner.stopAll(reason);
      // The entries must receive the end messages before their connections close.
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_INTERVAL_MS));
    }
    await this.close();
  }

  /** Stops without waiting for attempts or for control. */
  async close(): Promise<void> {
    this.timers.forEach(timer => clearInterval(timer));
    this.session?.close();
    this.member.close();
    this.engine.close();
    this.runner.close();
    await this.server?.close();
    await this.announceListener?.close();
    this.backendClient.close();
  }

  private async start(): Promise<void> {
    const {settings} = this;
    this.server = await FrameServer.create({
      host: settings.host,
      port: settings.port,
      security: settings.security,
      onConnection: connection =>
        void this.acceptPeer(connection).catch(() => undefined),
    });
    this.announceListener = await listenForAnnouncements({
      host: settings.announceHost,
      port: settings.announcePort,
      onAnnounce: announcement => {
        if (this.localBackend.recordAnnouncement(announcement)) {
          this.record(
            'backend-announced',
            `${announcement.kind} ${announcement.name}`,
          );
          this.engine.refresh();
          this.session?.reportNow();
        }
      },
      createStatus: () => this.createStatus(),
    });
    this.session = ControlSession.create({
      client: ControlClient.create({
        addresses: settings.control,
        identity: this.identity,
        security: settings.security,
      }),
      clock: this.leaseClock,
      createReport: () => this.createReport(),
      onDirective: directive => this.applyDirective(directive),
    });
    this.timers.push(setInterval(() => this.checkServing(), CHECK_INTERVAL_MS));
  }

  private get identity() {
    const {hostId: id} = this.settings;
    return {program: 'host' as const, id, incarnation: this.incarnation};
  }

  private async acceptPeer(connection: FrameConnection): Promise<void> {
    const peer = await Peer.create(connection, this.identity);
    if (peer.remote.program === 'entry') {
      this.runner.acceptEntry(peer);
      return;
    }
    void peer.messages.observe(message => {
      if (message.type === 'heartbeat-ask') {
        this.member.answerHeartbeat(peer, message);
      }
    });
  }

  private applyDirective(
    directive: MessageOf<ControlMessage, 'host-directive'>,
  ): void {
    if (directive.bundle) {
      this.setBundle(Bundle.parse(JSON.parse(directive.bundle.document)));
    }
    this.engine.setStandbyModel(directive.standby);
    if (directive.group !== undefined) {
      this.assignGroup(directive.group);
    }
  }

  private assignGroup(group: Group | null): void {
    if (!this.member.assign(group)) {
      return;
    }
    this.runner.stopUnauthorized();
    const name = group ? `${group.id} epoch ${group.epoch}` : 'no group';
    this.record('assigned', `control assigned ${name}`);
    this.session?.reportNow();
  }

  private setBundle(bundle: Bundle): void {
    if (bundle.version > (this.bundle?.version ?? 0)) {
      this.bundle = bundle;
      this.record('bundle-in-force', `version ${bundle.version}`);
    }
  }

  private findRefusalReason(
    dispatch: MessageOf<RequestMessage, 'dispatch'>,
    now: number,
  ): string | undefined {
    const {member} = this;
    return checkDispatch(
      {
        hostId: this.settings.hostId,
        incarnation: this.incarnation,
        group: member.group ?? undefined,
        missingMembers: member.listMissing(this.clock.now()),
        hasBundleLease: this.session?.hasLease(now) ?? false,
        hasBackend: member.hasBackend(),
        isLeaving:
          this.isLeaving || (this.localBackend.current?.isLeaving ?? false),
        now,
      },
      dispatch,
    );
  }

  private checkServing(): void {
    this.engine.refresh();
    const now = this.clock.now();
    const isServing = this.member.isServing(now);
    if (isServing === this.wasServing) {
      return;
    }
    this.wasServing = isServing;
    const missing = this.member.listMissing(now).join(' ');
    const reason = missing
      ? `members are missing: ${missing}`
      : 'the group, its epoch or the engine changed';
    this.record(
      isServing ? 'serving' : 'stopped-serving',
      isServing ? 'every member is present' : reason,
    );
    this.runner.stopUnauthorized();
    this.session?.reportNow();
  }

  private createReport(): HostReport | undefined {
    const now = this.clock.now();
    if (this.member.isInStartupDelay(now)) {
      return undefined;
    }
    const {hostId, zone, domain, host, advertise} = this.settings;
    const backend = this.localBackend.current;
    return {
      hostId,
      incarnation: this.incarnation,
      zone,
      domain,
      address: `${advertise ?? ServerAddress.create(host, this.port)}`,
      backend: backend
        ? {
            kind: backend.kind,
            name: backend.name,
            accelerators: backend.accelerators,
          }
        : null,
      isLeaving: this.isLeaving || (backend?.isLeaving ?? false),
      ...this.member.createGroupReport(now),
      running: this.runner.runningCount,
      // A draining group starts no new attempts, so this stays true once it is.
      isDrained:
        this.member.group?.isDraining === true &&
        this.runner.runningCount === 0,
      bundleVersion: this.bundle?.version ?? 0,
    };
  }

  private createStatus(): object {
    return {
      report: this.createReport() ?? null,
      events: this.events.listSince(0),
    };
  }

  private record(type: string, reason: string): void {
    this.events.record({
      type,
      subject: 'host',
      id: this.settings.hostId,
      reason,
    });
  }
}
