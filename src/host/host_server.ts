/** The process beside one backend server: member of a group, fence, runner of work. */
import {randomBytes} from 'node:crypto';
import {EventRing} from '../common/event_ring';
import {LeaseClock} from '../common/lease_clock';
import {recordPause} from '../common/record_pause';
import {StopSchedule} from '../common/stop_schedule';
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
import {listenForAnnouncements} from './announce_listener';
import {BackendSlot} from './backend_slot';
import {ControlSession} from './control_session';
import {EngineOrders} from './engine_orders';
import {GroupMember} from './group_member';
import {HostSettings} from './host_settings';
import {WorkRunner} from './work_runner';

const CHECK_EVERY_MS = 50;
/** How long a stopping host waits for its release after its last request. */
const RELEASE_TIMEOUT_MS = 10_000;
const DRAIN_POLL_MS = 50;

/** A running host process. */
export class HostServer {
  /** What happened here, newest in memory. */
  readonly events = EventRing.create();
  private readonly incarnation = randomBytes(8).toString('hex');
  private readonly clock = systemClock;
  /** For leases and start-by times, which a suspension ends. */
  private readonly leaseClock = LeaseClock.create({
    steady: systemClock,
    wall: () => Date.now(),
    onPause: pause =>
      recordPause(this.events, 'host', this.settings.hostId, pause),
  });
  private readonly backend = BackendHttpClient.create();
  private readonly slot = BackendSlot.create(this.clock);
  private readonly orders: EngineOrders;
  private readonly member: GroupMember;
  private readonly runner: WorkRunner;
  private readonly timers: NodeJS.Timeout[] = [];
  private session: ControlSession | undefined;
  private server: FrameServer | undefined;
  private announceListener: HttpListener | undefined;
  private bundle: Bundle | undefined;
  private isLeaving = false;
  private wasServing = false;

  private constructor(private readonly settings: HostSettings) {
    this.orders = EngineOrders.create({
      hostId: settings.hostId,
      backend: this.backend,
      findUrl: () => this.slot.current?.url,
    });
    this.member = GroupMember.create({
      hostId: settings.hostId,
      identity: this.identity,
      clock: this.clock,
      leaseClock: this.leaseClock,
      orders: this.orders,
      security: settings.security,
    });
    this.runner = WorkRunner.create({
      incarnation: this.incarnation,
      clock: this.leaseClock,
      events: this.events,
      backend: this.backend,
      findBackendUrl: () => this.slot.current?.url,
      refuse: (dispatch, now) => this.refuse(dispatch, now),
      checkRight: dispatch => this.member.checkRight(dispatch),
    });
  }

  /**
   * Listens for its backend server, entries and members, and reports to control.
   *
   * @throws TransportError when an address cannot be taken
   * @example
   * const host = await HostServer.create(settings);
   */
  static async create(settings: HostSettings): Promise<HostServer> {
    const host = new HostServer(settings);
    await host.start();
    return host;
  }

  /** The port for entries and members. */
  get port(): number {
    return this.server?.port ?? 0;
  }

  /** The port where the backend server announces itself. */
  get announcePort(): number {
    return this.announceListener?.port ?? 0;
  }

  /**
   * Leaves: takes no new work, lets what runs finish, waits until control
   * released the host, then stops. What still runs when the time is over is
   * given up, and its entry is told so.
   */
  async drain(): Promise<void> {
    const {clock, runner} = this;
    this.isLeaving = true;
    this.record('leaving', 'the process was told to stop');
    this.session?.reportSoon();
    const schedule = StopSchedule.create({
      withinMs: this.settings.stopWithinMs,
    });
    schedule.begin(clock.now());
    let releaseBy = clock.now() + RELEASE_TIMEOUT_MS;
    const isReleased = () => this.member.group === null;
    while (
      !schedule.isOver(clock.now()) &&
      (runner.runningCount > 0 || (!isReleased() && clock.now() < releaseBy))
    ) {
      if (runner.runningCount > 0) {
        releaseBy = clock.now() + RELEASE_TIMEOUT_MS;
      }
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS));
    }
    if (runner.runningCount > 0) {
      const reason = 'the time for the stop is over';
      this.record(
        'work-given-up',
        `${runner.runningCount} requests: ${reason}`,
      );
      runner.stopAll(reason);
      // Entries are told before their connections close.
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS));
    }
    await this.close();
  }

  /** Stops at once. */
  async close(): Promise<void> {
    this.timers.forEach(timer => clearInterval(timer));
    this.session?.close();
    this.member.close();
    this.orders.close();
    this.runner.close();
    await this.server?.close();
    await this.announceListener?.close();
    await this.backend.close();
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
        if (this.slot.announce(announcement)) {
          this.record(
            'backend-announced',
            `${announcement.kind} ${announcement.name}`,
          );
          this.orders.refresh();
          this.session?.reportSoon();
        }
      },
      describe: () => this.describe(),
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
    this.timers.push(setInterval(() => this.check(), CHECK_EVERY_MS));
  }

  private get identity() {
    const {hostId: id} = this.settings;
    return {program: 'host' as const, id, incarnation: this.incarnation};
  }

  private async acceptPeer(connection: FrameConnection): Promise<void> {
    const peer = await Peer.create(connection, this.identity);
    if (peer.remote.program === 'entry') {
      this.runner.accept(peer);
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
    this.orders.setStandby(directive.standby);
    if (directive.group !== undefined) {
      this.assignGroup(directive.group);
    }
  }

  private assignGroup(group: Group | null): void {
    if (!this.member.assign(group)) {
      return;
    }
    this.runner.stopUnlawful();
    const name = group ? `${group.id} epoch ${group.epoch}` : 'no group';
    this.record('assigned', `control assigned ${name}`);
    this.session?.reportSoon();
  }

  private setBundle(bundle: Bundle): void {
    if (bundle.version > (this.bundle?.version ?? 0)) {
      this.bundle = bundle;
      this.record('bundle-in-force', `version ${bundle.version}`);
    }
  }

  private refuse(
    dispatch: MessageOf<RequestMessage, 'dispatch'>,
    now: number,
  ): string | undefined {
    const {member} = this;
    return checkDispatch(
      {
        hostId: this.settings.hostId,
        incarnation: this.incarnation,
        group: member.group ?? undefined,
        missing: member.listMissing(this.clock.now()),
        hasBundleLease: this.session?.hasLease(now) ?? false,
        hasBackend: member.hasOrders(),
        isLeaving: this.isLeaving || (this.slot.current?.isLeaving ?? false),
        now,
      },
      dispatch,
    );
  }

  private check(): void {
    this.orders.refresh();
    const now = this.clock.now();
    const isServing = this.member.isServing(now);
    if (isServing === this.wasServing) {
      return;
    }
    this.wasServing = isServing;
    const missing = this.member.listMissing(now).join(' ');
    const reason = missing
      ? `members are missing: ${missing}`
      : 'the group or engine changed';
    this.record(
      isServing ? 'serving' : 'stopped-serving',
      isServing ? 'every member is present' : reason,
    );
    this.runner.stopUnlawful();
    this.session?.reportSoon();
  }

  private createReport(): HostReport | undefined {
    const now = this.clock.now();
    if (this.member.isQuiet(now)) {
      return undefined;
    }
    const {hostId, zone, domain, host, advertise} = this.settings;
    const backend = this.slot.current;
    return {
      hostId,
      incarnation: this.incarnation,
      zone,
      domain,
      address: advertise ?? `${host}:${this.port}`,
      backend: backend
        ? {
            kind: backend.kind,
            name: backend.name,
            accelerators: backend.accelerators,
          }
        : null,
      isLeaving: this.isLeaving || (backend?.isLeaving ?? false),
      ...this.member.describe(now),
      running: this.runner.runningCount,
      // A group that was told to drain starts nothing new, so this stays true.
      isDrained:
        this.member.group?.isDraining === true &&
        this.runner.runningCount === 0,
      bundleVersion: this.bundle?.version ?? 0,
    };
  }

  private describe(): object {
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
