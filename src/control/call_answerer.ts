/** Answers the calls to one control process: it serves them while it leads, and refuses them otherwise. */
import {Message} from '../protocol/message';
import {MessageOf} from '../protocol/message_of';
import {ControlError} from './control_error';
import {ControlEventLog} from './control_event_log';
import {createCallHandlers} from './create_call_handlers';
import {RaftRuntime} from './raft_runtime';

type Handlers = ReturnType<typeof createCallHandlers>;
type Reply = (message: Message) => void;

interface CallAnswererOptions {
  readonly log: ControlEventLog;
  readonly identity: string;
  /** Undefined before this process knows a quorum. */
  readonly findRuntime: () => RaftRuntime | undefined;
  readonly findHandlers: () => Handlers | undefined;
  /** Addresses where the leader may be; undefined where processes are not named by addresses. */
  readonly listControlAddresses: () => string[] | undefined;
  readonly listVoters: () => string[];
}

/** Shared by all connections of a process. */
export class CallAnswerer {
  private constructor(private readonly options: CallAnswererOptions) {}

  /**
   * Creates an answerer.
   *
   * @example
   * const calls = CallAnswerer.create({log, identity, findRuntime, findHandlers, listControlAddresses, listVoters});
   */
  static create(options: CallAnswererOptions): CallAnswerer {
    return new CallAnswerer(options);
  }

  /** Answers a call of the leader, or tells where the leader may be. */
  async answer(
    request: MessageOf<Message, keyof Handlers>,
    reply: Reply,
  ): Promise<void> {
    const runtime = this.options.findRuntime();
    const handlers = this.options.findHandlers();
    const control = this.options.listControlAddresses();
    const refuse = () =>
      reply({type: 'not-leader', call: request.call, control});
    if (!runtime?.canServe() || !handlers?.[request.type]) {
      if (runtime?.raft.role === 'leader') {
        this.recordRefusal(
          request.type,
          'it is the leader, but no quorum has confirmed that lately',
        );
      }
      refuse();
      return;
    }
    try {
      const answer = await handlers[request.type](request as never);
      // This process may have been suspended since the call, and its lease expired.
      if (runtime.canServe()) {
        this.send(request.call, answer, reply);
      } else {
        this.recordRefusal(
          request.type,
          'leadership was lost before the answer was sent',
        );
        refuse();
      }
    } catch (error) {
      if (error instanceof ControlError) {
        this.recordRefusal(request.type, error.message);
      } else {
        // Costs this call alone: its sender asks again, and errors of the disk end the process elsewhere.
        this.options.log.recordCallFault(request.type, error as Error);
      }
      refuse();
    }
  }

  /** Rejects a call that could not be decoded, whatever this process is. */
  reject(
    from: string,
    invalid: MessageOf<Message, 'invalid-call'>,
    reply: Reply,
  ): void {
    this.options.log.recordInvalidCall(from, invalid.reason);
    reply(invalid);
  }

  /** An answer that is too long for a message costs only its call. */
  private send(call: number, answer: Message, reply: Reply): void {
    try {
      reply(answer);
    } catch (error) {
      const reason = `${answer.type}: ${(error as Error).message}`;
      const invalid = {type: 'invalid-call' as const, call, reason};
      this.reject(this.options.identity, invalid, reply);
    }
  }

  private recordRefusal(callType: string, reason: string): void {
    const {log, listVoters, findRuntime} = this.options;
    log.recordRefusedCall({
      ask: callType,
      reason,
      voters: listVoters(),
      raft: findRuntime()?.raft,
    });
  }
}
