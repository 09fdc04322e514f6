import {ControlMessage} from '../../src/protocol/control_message';
import {GatewayRules} from '../../src/protocol/gateway_rules';
import {Message} from '../../src/protocol/message';
import {MessageOf} from '../../src/protocol/message_of';
import {Peer} from '../../src/protocol/peer';
import {rulesCodec} from '../../src/protocol/rules_codec';
import {FrameConnection} from '../../src/transport/frame_connection';
import {FrameServer} from '../../src/transport/frame_server';

type Answer = MessageOf<ControlMessage, 'gateway-answer'>;
/** A table of backend servers, or changes to the one before. */
type TableUpdate = Pick<Answer, 'targets' | 'retired' | 'closed'> & {
  readonly isWholeTable: boolean;
  readonly isComplete?: boolean;
};

/** Time for which a poll that has nothing new is held. */
const HOLD_MS = 20;
const identity = {program: 'control', id: 'c', incarnation: 'i'} as const;

/**
 * A control leader that tells gateways whatever a test sets, also what a leader of this
 * version never would.
 */
export class FakeLeader {
  private update: TableUpdate | undefined;
  private version = 0;

  private constructor(
    private readonly rules: GatewayRules,
    private readonly control: readonly string[],
    private readonly server: FrameServer,
  ) {}

  /**
   * Starts to listen on a loopback port.
   *
   * @param control texts that answers give as the addresses of control processes
   * @example
   * const leader = await FakeLeader.create(rules, ['127.0.0.1:65536']);
   * leader.setTable({targets, isWholeTable: true});
   */
  static async create(
    rules: GatewayRules,
    control: readonly string[] = [],
  ): Promise<FakeLeader> {
    const server = await FrameServer.create({
      host: '127.0.0.1',
      port: 0,
      onConnection: connection => void leader.accept(connection),
    });
    const leader = new FakeLeader(rules, control, server);
    return leader;
  }

  get port(): number {
    return this.server.port;
  }

  /** Tells each gateway this update with its next answer, once. */
  setTable(update: TableUpdate): void {
    this.update = update;
    this.version += 1;
  }

  close(): Promise<void> {
    return this.server.close();
  }

  private async accept(connection: FrameConnection): Promise<void> {
    const peer = await Peer.create(connection, identity);
    await peer.messages.observe(message => {
      if (message.type === 'leader-ask') {
        peer.send({type: 'leader-answer', call: message.call});
      } else if (message.type === 'gateway-ask') {
        setTimeout(() => peer.send(this.createAnswer(message)), HOLD_MS);
      }
    });
  }

  private createAnswer({
    call,
    rulesVersion,
    tableTag,
  }: MessageOf<Message, 'gateway-ask'>): Answer {
    const {version} = this.rules;
    const tag = String(this.version);
    return {
      type: 'gateway-answer',
      call,
      rules:
        rulesVersion === version ? undefined : rulesCodec.encode(this.rules),
      rulesVersion: version,
      tableTag: tag,
      isComplete: true,
      ...(tableTag !== tag && this.update),
      runningElsewhere: {},
      gateways: 1,
      control: [...this.control],
    };
  }
}
