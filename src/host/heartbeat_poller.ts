/** The first member's side of heartbeats: asks every other member, again and again. */
import {Clock} from '../common/clock';
import {GroupLease} from '../coordination/groups/group_lease';
import {connectPeer} from '../protocol/connect_peer';
import {Group} from '../protocol/group';
import {MembershipMessage} from '../protocol/membership_message';
import {MessageOf} from '../protocol/message_of';
import {Peer} from '../protocol/peer';
import {TransportSecurity} from '../transport/transport_security';

const ASK_EVERY_MS = 150;

/** What the asker works on. */
interface HeartbeatAskerOptions {
  readonly group: Group;
  readonly lease: GroupLease;
  readonly identity: Parameters<typeof Peer.create>[1];
  readonly clock: Clock;
  readonly security?: TransportSecurity;
}

/** Keeps a lease fresh while every member answers. */
export class HeartbeatPoller {
  private readonly peers = new Map<string, Peer>();
  private readonly connecting = new Set<string>();
  private readonly sentAtByNonce = new Map<number, number>();
  private readonly timer: NodeJS.Timeout;
  private nonce = 0;
  private isClosed = false;

  private constructor(private readonly options: HeartbeatAskerOptions) {
    this.timer = setInterval(() => this.probeMembers(), ASK_EVERY_MS);
    this.probeMembers();
  }

  /**
   * Starts asking.
   *
   * @example
   * const asker = HeartbeatAsker.create({group, lease, identity, clock});
   */
  static create(options: HeartbeatAskerOptions): HeartbeatPoller {
    return new HeartbeatPoller(options);
  }

  close(): void {
    this.isClosed = true;
    clearInterval(this.timer);
    this.peers.forEach(peer => peer.close());
  }

  private probeMembers(): void {
    const {group, lease, clock} = this.options;
    for (const member of lease.others) {
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
        address,
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
      // The next round tries again; the lease runs out meanwhile.
    } finally {
      this.connecting.delete(hostId);
    }
  }

  private receive(
    answer: MessageOf<MembershipMessage, 'heartbeat-answer'>,
  ): void {
    const {group, lease} = this.options;
    const askedAt = this.sentAtByNonce.get(answer.nonce);
    const isAboutGroup =
      answer.groupId === group.id && answer.epoch === group.epoch;
    if (askedAt === undefined || !isAboutGroup) {
      return;
    }
    if (answer.isMember) {
      lease.recordHeartbeat(answer.hostId, askedAt);
    } else {
      lease.recordRefusal(answer.hostId, askedAt);
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
