/** Connections between control processes. Each process sends on the connections that it opened. */
import {AddressError} from '../common/address_error';
import {Clock} from '../common/clock';
import {ServerAddress} from '../common/server_address';
import {connectPeer} from '../protocol/connect_peer';
import {Message} from '../protocol/message';
import {parseAddresses} from '../protocol/parse_addresses';
import {Peer} from '../protocol/peer';
import {splitIdentity} from '../protocol/split_identity';
import {TlsCredentials} from '../transport/tls_credentials';

const RECONNECT_MS = 100;
/** Interval of the keep-alive messages on each connection. */
const PROBE_INTERVAL_MS = 400;
/** A connection is closed after this time without a message, when several probes were not answered. */
const IDLE_TIMEOUT_MS = 1_500;

/** Identity and addresses of the control processes, and handlers. */
interface ControlConnectionsOptions {
  readonly identity: Parameters<typeof Peer.create>[1];
  /** Availability zone of this process, if its settings name one. */
  readonly zone?: string;
  /** Addresses of the other control processes, by name. */
  readonly addresses: ReadonlyMap<string, ServerAddress>;
  readonly clock: Clock;
  readonly security?: TlsCredentials;
  /** Called with each message that arrives on an opened connection. */
  readonly onMessage: (
    from: string,
    message: Message,
    reply: (message: Message) => void,
  ) => void;
  /** Called when a message could not be handled, before its connection is closed. */
  readonly onFailure: (from: string, error: Error) => void;
  /** Called with the error of each address that is malformed. */
  readonly onMalformedAddress?: (error: AddressError) => void;
}

interface Connection {
  readonly peer: Peer;
  lastMessageAt: number;
  /** Why this process closed it; undefined while it is open or when the peer did. */
  closeReason?: string;
}

/** Whether a process is connected, and since when. */
interface ConnectionReport {
  /** Identity of the connected process; undefined while there is no connection. */
  readonly identity: string | undefined;
  /** Time since the connection opened, or since it was lost or first tried, in milliseconds. */
  readonly sinceMs: number;
  /** Why the latest attempt failed or the connection ended. */
  readonly failure: string | undefined;
}

interface ConnectionHistory {
  changedAt: number;
  failure?: string;
}

/** Maintains one outgoing connection to each of the other control processes. */
export class ControlConnections {
  private readonly connections = new Map<string, Connection>();
  private readonly addresses = new Map<string, ServerAddress>();
  /** Time of the last message of a process, by identity. */
  private readonly lastMessageAt = new Map<string, number>();
  private readonly histories = new Map<string, ConnectionHistory>();
  private readonly timer: NodeJS.Timeout;
  private isClosed = false;

  private constructor(private readonly options: ControlConnectionsOptions) {
    this.timer = setInterval(() => this.probe(), PROBE_INTERVAL_MS);
  }

  /**
   * Starts to connect, and reconnects until it is closed.
   *
   * @example
   * const connections = ControlConnections.create({identity, addresses, clock, onMessage, onFailure});
   */
  static create(options: ControlConnectionsOptions): ControlConnections {
    const connections = new ControlConnections(options);
    for (const [name, address] of options.addresses) {
      connections.startConnection(name, address);
    }
    return connections;
  }

  /** Maintains a connection to one more process; there is none to a malformed address. */
  add(name: string, address: string): void {
    if (!this.addresses.has(name)) {
      const {onMalformedAddress} = this.options;
      parseAddresses([address], onMalformedAddress).forEach(parsed =>
        this.startConnection(name, parsed),
      );
    }
  }

  /** Returns the identities of the connected processes. */
  listIdentities(): string[] {
    return [...this.connections.values()].map(
      connection => connection.peer.remote.id,
    );
  }

  /** Returns when the process with this identity last sent a message; undefined if it never did. */
  findLastActivityAt(identity: string): number | undefined {
    return this.lastMessageAt.get(identity);
  }

  /**
   * Connects at once to a process that has just connected to this one. An attempt from
   * before its start may hang for seconds, and a connection to its former life carries
   * nothing; a quorum of which every member is needed cannot elect a leader meanwhile.
   */
  connectBack({id, incarnation}: {id: string; incarnation: string}): void {
    const {name} = splitIdentity(id);
    const address = this.addresses.get(name);
    const open = this.connections.get(name);
    if (address === undefined || this.isClosed) {
      return;
    }
    if (open && open.peer.remote.incarnation !== incarnation) {
      open.closeReason = 'the process was started again';
      open.peer.close();
      this.connections.delete(name);
    }
    if (!this.connections.has(name)) {
      void this.connectAndRecord(name, address);
    }
  }

  /** Lists the processes to which connections are maintained, by name. */
  listNames(): string[] {
    return [...this.addresses.keys()];
  }

  /** Describes the connection to a process; undefined if none is maintained. */
  findConnection(name: string): ConnectionReport | undefined {
    const history = this.histories.get(name);
    return (
      history && {
        identity: this.connections.get(name)?.peer.remote.id,
        sinceMs: this.options.clock.now() - history.changedAt,
        failure: history.failure,
      }
    );
  }

  /** Sends a message to the process with this identity; dropped if it is not connected. */
  send(identity: string, message: Message): void {
    const connection = this.connections.get(splitIdentity(identity).name);
    if (connection?.peer.remote.id === identity) {
      connection.peer.send(message);
    }
  }

  close(): void {
    this.isClosed = true;
    clearInterval(this.timer);
    for (const connection of this.connections.values()) {
      connection.peer.close();
    }
  }

  /** Detects dead connections, which TCP alone may report only after minutes. */
  private probe(): void {
    const now = this.options.clock.now();
    const {zone, identity} = this.options;
    for (const connection of this.connections.values()) {
      const {peer, lastMessageAt} = connection;
      if (now - lastMessageAt > IDLE_TIMEOUT_MS) {
        connection.closeReason = `no message for ${IDLE_TIMEOUT_MS} ms`;
        peer.close();
      } else {
        peer.send({type: 'formation-ask', identity: identity.id, zone});
      }
    }
  }

  private startConnection(name: string, address: ServerAddress): void {
    this.addresses.set(name, address);
    this.histories.set(name, {changedAt: this.options.clock.now()});
    void this.runConnection(name, address);
  }

  private async runConnection(
    name: string,
    address: ServerAddress,
  ): Promise<void> {
    while (!this.isClosed) {
      const open = this.connections.get(name);
      await (open ? open.peer.closed : this.connectAndRecord(name, address));
      await new Promise(resolve => setTimeout(resolve, RECONNECT_MS));
    }
  }

  private async connectAndRecord(
    name: string,
    address: ServerAddress,
  ): Promise<void> {
    await this.connectOnce(name, address).catch((error: Error) =>
      this.recordFailure(name, error.message),
    );
  }

  private async connectOnce(
    name: string,
    address: ServerAddress,
  ): Promise<void> {
    const {identity, security, onMessage, onFailure, clock} = this.options;
    const peer = await connectPeer(address, identity, security);
    if (this.isClosed || this.connections.has(name)) {
      peer.close();
      return;
    }
    const connection: Connection = {peer, lastMessageAt: clock.now()};
    this.connections.set(name, connection);
    this.histories.set(name, {changedAt: clock.now()});
    const reply = (message: Message) => peer.send(message);
    void peer.messages
      .observe(message => {
        connection.lastMessageAt = clock.now();
        this.lastMessageAt.set(peer.remote.id, connection.lastMessageAt);
        onMessage(peer.remote.id, message, reply);
      })
      .catch((error: Error) => {
        onFailure(peer.remote.id, error);
        peer.close();
      });
    const failure = await peer.closed;
    const current = this.connections.get(name);
    if (current !== undefined && current !== connection) {
      return;
    }
    this.connections.delete(name);
    this.histories.set(name, {changedAt: clock.now()});
    this.recordFailure(
      name,
      connection.closeReason ?? failure?.message ?? 'the peer closed it',
    );
  }

  private recordFailure(name: string, failure: string): void {
    const history = this.histories.get(name);
    if (history) {
      history.failure = failure;
    }
  }
}
