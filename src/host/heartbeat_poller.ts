/** The first member's side of heartbeats: polls every other member at a fixed interval. */
import {Clock} from '../common/clock';
import {ServerAddress} from '../common/server_address';
import {GroupLease} from '../coordination/groups/group_lease';
import {connectPeer} from '../protocol/connect_peer';
import {Group} from '../protocol/group';
import {MembershipMessage} from '../protocol/membership_message';
import {MessageOf} from '../protocol/message_of';
import {Peer} from '../protocol/peer';
import {TlsCredentials} from '../transport/tls_credentials';

const POLL_INTERVAL_MS = 150;

/** What the poller works with. */
interface HeartbeatPollerOptions {
  readonly group: Group;
  readonly lease: GroupLease;
  readonly identity: Parameters<typeof Peer.create>[1];
  readonly clock: Clock;
  readonly security?: TlsCredentials;
}

/** Renews the group's lease while every member answers. */
export class HeartbeatPoller {
  private readonly peers = new Map<string, Peer>();
  private readonly connecting = new Set<string>();
  private readonly sentAtByNonce = new Map<number, number>();
  private readonly timer: NodeJS.Timeout;
  private nonce = 0;
  private isClosed = false;

  private constructor(private readonly options: HeartbeatPollerOptions) {
    this.timer = setInterval(() => this.probeMembers(), POLL_INTERVAL_MS);
    this.probeMembers();
  }

  /**
   * Starts polling.
   *
   * @example
   * const poller = HeartbeatPoller.create({group, lease, identity, clock});
   */
  static create(options: HeartbeatPollerOptions): HeartbeatPoller {
    return new HeartbeatPoller(options);
  }

  close(): void {
    this.isClosed = true;
    clearInterval(this.timer);
    this.peers.forEach(peer => peer.close());
  }

  private probeMembers(): void {
    const {group, lease, clock} = this.options;
    for (const member of lease.otherMembers) {
      const peer = this.peers.get(member.hostId);
      if (!peer?.isOpen) {
        void this.connect(member.hostId, member.address);
        continue;
      }
      this.nonce += 1;
      this.sentAtByNonce.set(this.nonce, clock.now());
      peer.send({
        type: 'heartbeat-ask',
        groupId: group.id,
        epoch: group.epoch,
        nonce: this.nonce,
      });
    }
    this.removeOldNonces();
  }

  private async connect(hostId: string, address: string): Promise<void> {
    if (this.connecting.has(hostId)) {
      return;
    }
    this.connecting.add(hostId);
    try {
      const peer = await connectPeer(
        ServerAddress.parse(address),
        this.options.identity,
        this.options.security,
      );
      if (this.isClosed) {
        peer.close();
        return;
      }
      this.peers.set(hostId, peer);
      void peer.messages.observe(message => {
        if (message.type === 'heartbeat-answer') {
          this.receive(message);
        }
      });
      this.probeMembers();
    } catch {
      // The next round tries again; until it succeeds the lease is not renewed.
    } finally {
      this.connecting.delete(hostId);
    }
  }

  private receive(
    answer: MessageOf<MembershipMessage, 'heartbeat-answer'>,
  ): void {
    const {group, lease} = this.options;
    const sentAt = this.sentAtByNonce.get(answer.nonce);
    const isForGroup =
      answer.groupId === group.id && answer.epoch === group.epoch;
    if (sentAt === undefined || !isForGroup) {
      return;
    }
    if (answer.isMember) {
      lease.recordHeartbeat(answer.hostId, sentAt);
    } else {
      lease.recordNotReady(answer.hostId, sentAt);
    }
  }

  private removeOldNonces(): void {
    const MAX_NONCES = 1_024;
    for (const nonce of this.sentAtByNonce.keys()) {
      if (this.sentAtByNonce.size <= MAX_NONCES) {
        return;
      }
      this.sentAtByNonce.delete(nonce);
    }
  }
}
