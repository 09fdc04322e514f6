/** Witnesses of servers, shared by the responses that arrive from a server at the same time. */
import {ServerAddress} from '../common/server_address';
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
   * const use = ServerWitnesses.create().acquire(ServerAddress.parse('10.0.0.4:8080'));
   */
  static create(): ServerWitnesses {
    return new ServerWitnesses();
  }

  /** Begins a use with a connection that is open, or else with a new one. */
  acquire(address: ServerAddress): WitnessUse {
    const key = address.toString();
    const known = this.shared.get(key);
    const shared = known?.witness.isOpen
      ? known
      : {witness: ServerWitness.create(address), users: 0};
    this.shared.set(key, shared);
    shared.users += 1;
    let isReleased = false;
    return {
      check: () => shared.witness.check(),
      release: () => {
        if (!isReleased) {
          isReleased = true;
          this.release(key, shared);
        }
      },
    };
  }

  private release(key: string, shared: SharedWitness): void {
    shared.users -= 1;
    if (shared.users > 0) {
      return;
    }
    shared.witness.close();
    if (this.shared.get(key) === shared) {
      this.shared.delete(key);
    }
  }
}
