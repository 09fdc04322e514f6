/** Commands that wait for the log: first to be proposed together, then to be applied. */
import {ControlCommand} from '../protocol/control_command';
import {CommandResult} from '../state/command_result';
import {ControlError} from './control_error';

/** Whoever waits for one command. */
interface PendingProposal {
  readonly command: ControlCommand;
  readonly resolve: (result: CommandResult) => void;
  readonly reject: (error: ControlError) => void;
}

/** Settles each command exactly once. */
export class PendingProposals {
  private queued: PendingProposal[] = [];
  /** By place in the log, with the term that it was proposed in. */
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

  /** Commands that were added and not yet proposed. */
  get queuedCount(): number {
    return this.queued.length;
  }

  /** Adds a command; settles when it is applied or given up. */
  add(command: ControlCommand): Promise<CommandResult> {
    return new Promise((resolve, reject) => {
      this.queued.push({command, resolve, reject});
    });
  }

  /** Takes all queued commands, which go into the log from `firstIndex` on. */
  takeQueued(firstIndex: number, term: number): ControlCommand[] {
    const taken = this.queued;
    this.queued = [];
    taken.forEach((waiting, offset) => {
      this.proposed.set(firstIndex + offset, {...waiting, term});
    });
    return taken.map(({command}) => command);
  }

  /** Settles the command at this place, if it is still the one that was proposed. */
  settle(index: number, term: number, result: CommandResult): void {
    const waiting = this.proposed.get(index);
    this.proposed.delete(index);
    if (waiting?.term === term) {
      waiting.resolve(result);
    } else {
      waiting?.reject(new ControlError('another leader took over'));
    }
  }

  /** Gives up everything that waits. Some of it may be committed all the same. */
  rejectAll(reason: string): void {
    const error = new ControlError(reason);
    const waiting = [...this.queued, ...this.proposed.values()];
    this.queued = [];
    this.proposed.clear();
    waiting.forEach(({reject}) => reject(error));
  }
}
