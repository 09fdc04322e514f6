/** A fake host process whose answers to dispatches are scripted by a test. */
import {Message} from '../../src/protocol/message';
import {MessageOf} from '../../src/protocol/message_of';
import {Peer} from '../../src/protocol/peer';
import {RequestMessage} from '../../src/protocol/request_message';
import {FrameServer} from '../../src/transport/frame_server';

type Dispatch = MessageOf<RequestMessage, 'dispatch'>;

/** Handles each dispatch that a fake host receives. */
type Answer = (
  dispatch: Dispatch,
  send: (message: RequestMessage) => void,
  peer: Peer,
) => void;

/** Accepts connections like a host process and records the received messages. */
export class FakeHost {
  readonly dispatches: Dispatch[] = [];
  readonly messages: Message[] = [];

  private constructor(
    private readonly answer: Answer,
    private readonly incarnation: string,
  ) {}

  private server: FrameServer | undefined;

  static async create(answer: Answer, incarnation = 'fake'): Promise<FakeHost> {
    const host = new FakeHost(answer, incarnation);
    host.server = await FrameServer.create({
      host: '127.0.0.1',
      port: 0,
      onConnection: connection => {
        void Peer.create(connection, {
          program: 'host',
          id: 'fake',
          incarnation,
        }).then(peer => host.serve(peer));
      },
    });
    return host;
  }

  get address(): string {
    return `127.0.0.1:${this.server?.port}`;
  }

  async close(): Promise<void> {
    await this.server?.close();
  }

  private serve(peer: Peer): void {
    peer.send({
      type: 'clock',
      incarnation: this.incarnation,
      now: 0,
      running: 0,
    });
    void peer.messages.observe(message => {
      this.messages.push(message);
      if (message.type === 'dispatch') {
        this.dispatches.push(message);
        this.answer(message, reply => peer.send(reply), peer);
      }
    });
  }
}
