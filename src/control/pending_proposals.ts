/** Commands on their way through the log: queued until proposed in a batch, then waiting to be applied. */
import {ControlCommand} from '../protocol/control_command';
import {CommandResult} from '../state/command_result';
import {ControlError} from './control_error';

/** A command and the promise callbacks of its caller. */
interface PendingProposal {
  readonly command: ControlCommand;
  readonly resolve: (result: CommandResult) => void;
  readonly reject: (error: ControlError) => void;
}

/** Tracks proposals and settles the promise of each exactly once. */
export class PendingProposals {
  private queued: PendingProposal[] = [];
  /** Proposed commands by log index, with the term of the proposal. */
  private readonly proposed = new Map<
    number,
    PendingProposal & {term: number}
  >();

  private constructor() {}

  /**
   * Creates an empty set.
   *
   * @example
   * const pending = PendingProposals.create();
   */
  static create(): PendingProposals {
    return new PendingProposals();
  }

  /** Number of commands that are not proposed yet. */
  get queuedCount(): number {
    return this.queued.length;
  }

  /** Queues a command; the promise resolves with its result or rejects when it is abandoned. */
  add(command: ControlCommand): Promise<CommandResult> {
    return new Promise((resolve, reject) => {
      this.queued.push({command, resolve, reject});
    });
  }

  /** Returns all queued commands and records them as proposed from `firstIndex` on. */
  takeQueued(firstIndex: number, term: number): ControlCommand[] {
    const batch = this.queued;
    this.queued = [];
    batch.forEach((proposal, offset) => {
      this.proposed.set(firstIndex + offset, {...proposal, term});
    });
    return batch.map(({command}) => command);
  }

  /** Settles the proposal at this index; rejects it if another command was committed there. */
  settle(index: number, term: number, result: CommandResult): void {
    const proposal = this.proposed.get(index);
    this.proposed.delete(index);
    if (proposal?.term === term) {
      proposal.resolve(result);
    } else {
      proposal?.reject(
        new ControlError('a new leader replaced the log entry of this command'),
      );
    }
  }

  /** Rejects all pending commands. Proposed ones may still be committed later. */
  rejectAll(reason: string): void {
    const error = new ControlError(reason);
    const proposals = [...this.queued, ...this.proposed.values()];
    this.queued = [];
    this.proposed.clear();
    proposals.forEach(({reject}) => reject(error));
  }
}
