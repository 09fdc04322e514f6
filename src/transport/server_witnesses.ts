/** Witnesses of servers, shared by the responses that arrive from a server at the same time. */
import {ServerWitness} from './server_witness';

type ServerState = Awaited<ReturnType<ServerWitness['check']>>;

interface SharedWitness {
  readonly witness: ServerWitness;
  users: number;
}

/** The use of a witness by one response. */
interface WitnessUse {
  readonly check: () => Promise<ServerState>;
  /** Ends the use; further calls have no effect. */
  readonly release: () => void;
}

/** Opens at most one connection to each server, and closes it after the last response. */
export class ServerWitnesses {
  private readonly shared = new Map<string, SharedWitness>();

  private constructor() {}

  /**
   * Creates a set without connections.
   *
   * @example
   * const use = ServerWitnesses.create().acquire('10.0.0.4:8080');
   */
  static create(): ServerWitnesses {
    return new ServerWitnesses();
  }

  /**
   * Begins a use with a connection that is open, or else with a new one.
   *
   * @param address `host:port`
   */
  acquire(address: string): WitnessUse {
    const known = this.shared.get(address);
    const shared = known?.witness.isOpen
      ? known
      : {witness: ServerWitness.create(address), users: 0};
    this.shared.set(address, shared);
    shared.users += 1;
    let isReleased = false;
    return {
      check: () => shared.witness.check(),
      release: () => {
        if (!isReleased) {
          isReleased = true;
          this.release(address, shared);
        }
      },
    };
  }

  private release(address: string, shared: SharedWitness): void {
    shared.users -= 1;
    if (shared.users > 0) {
      return;
    }
    shared.witness.close();
    if (this.shared.get(address) === shared) {
      this.shared.delete(address);
    }
  }
}
