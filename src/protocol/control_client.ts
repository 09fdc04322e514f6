/** Client of the control processes: sends each call to the current leader. */
import {AddressError} from '../common/address_error';
import {selectDistinctAddresses} from '../common/select_distinct_addresses';
import {ServerAddress} from '../common/server_address';
import {TlsCredentials} from '../transport/tls_credentials';
import {ControlCalls} from './control_calls';
import {ControlConnectionPool} from './control_connection_pool';
import {ControlMessage} from './control_message';
import {LeaderCall} from './leader_call';
import {LeaderFinder} from './leader_finder';
import {MessageOf} from './message_of';
import {parseAddresses} from './parse_addresses';
import {Peer} from './peer';
import {ProtocolError} from './protocol_error';

const DEFAULT_TIMEOUT_MS = 1_500;

type Answers = ControlCalls['answers'];

/** The result of a search for the leader. */
interface SearchReport {
  readonly ask: ControlCalls['type'];
  readonly tookMs: number;
  readonly isAnswered: boolean;
  readonly tries: LeaderFinder['tries'];
}

/** How to reach the control processes, and the identity of this client. */
interface ControlClientOptions {
  /** Addresses of the control processes; a function where they may change. */
  readonly addresses:
    readonly ServerAddress[] | (() => readonly ServerAddress[]);
  /** Milliseconds without an answer after which the leader is searched for again, in parallel to the pending request. */
  readonly hedgeDelayMs?: number;
  readonly identity: Parameters<typeof Peer.create>[1];
  readonly security?: TlsCredentials;
  /** Receives a report on each call that had to search, or found no leader. */
  readonly onSearched?: (search: SearchReport) => void;
  /** Receives the error of each address that a process reported and that is malformed. */
  readonly onMalformedAddress?: (error: AddressError) => void;
}

/**
 * Calls the leader and keeps using it while it answers. Where control processes are
 * named by their addresses, a follower reports the addresses of the others.
 */
export class ControlClient {
  private readonly connections: ControlConnectionPool;
  private readonly finder: LeaderFinder;
  private readonly calls = new Set<LeaderCall>();
  /** Addresses that followers reported. */
  private reportedAddresses: readonly ServerAddress[] = [];
  private isClosed = false;

  private constructor(private readonly options: ControlClientOptions) {
    const {identity, security} = options;
    this.connections = ControlConnectionPool.create({identity, security});
    this.finder = LeaderFinder.create({
      connections: this.connections,
      listAddresses: () => this.listAddresses(),
      acceptAddresses: reported => this.acceptAddresses(reported),
    });
  }

  /**
   * Creates a client; it connects with the first call.
   *
   * @example
   * const client = ControlClient.create({addresses: [ServerAddress.parse('127.0.0.1:7000')], identity});
   * const answer = await client.ask({type: 'status-ask'}, 2000);
   */
  static create(options: ControlClientOptions): ControlClient {
    return new ControlClient(options);
  }

  /**
   * Sends a call until the leader answers or the timeout expires. It may arrive
   * more than once, so every call is idempotent at control.
   *
   * @param timeoutMs milliseconds for the whole call
   * @throws ProtocolError when no leader answered in time
   */
  async ask<T extends ControlCalls['type']>(
    request: ControlCalls['request'] & {type: T},
    timeoutMs = DEFAULT_TIMEOUT_MS,
  ): Promise<MessageOf<ControlMessage, Answers[T]>> {
    if (this.isClosed) {
      throw new ProtocolError('this client is closed');
    }
    const startedAt = performance.now();
    const hadLeader = this.connections.leader !== undefined;
    const call = LeaderCall.create({
      request,
      connections: this.connections,
      finder: this.finder,
      timeoutMs,
      hedgeDelayMs: this.options.hedgeDelayMs ?? DEFAULT_TIMEOUT_MS,
      onRedirect: reported => this.acceptAddresses(reported),
    });
    this.calls.add(call);
    let isAnswered = false;
    try {
      const answer = await call.run();
      isAnswered = true;
      return answer as MessageOf<ControlMessage, Answers[T]>;
    } finally {
      this.calls.delete(call);
      if (!hadLeader || !isAnswered) {
        this.report(request.type, isAnswered, startedAt);
      }
    }
  }

  /** Closes the connections and fails the pending calls. */
  close(): void {
    this.isClosed = true;
    this.calls.forEach(call => call.abandon('this client is closed'));
    this.finder.stop();
    this.connections.close();
  }

  /** The reported addresses, then the configured ones. */
  private listAddresses(): readonly ServerAddress[] {
    const {addresses} = this.options;
    const configured =
      typeof addresses === 'function' ? addresses() : addresses;
    return selectDistinctAddresses([...this.reportedAddresses, ...configured]);
  }

  /** Leaves out malformed addresses, which may come from another version or its disk. */
  private acceptAddresses(
    reported: readonly string[],
  ): readonly ServerAddress[] {
    const {onMalformedAddress} = this.options;
    const addresses = parseAddresses(reported, onMalformedAddress);
    if (addresses.length > 0) {
      this.reportedAddresses = addresses;
    }
    return addresses;
  }

  private report(
    ask: ControlCalls['type'],
    isAnswered: boolean,
    startedAt: number,
  ): void {
    const tookMs = Math.round(performance.now() - startedAt);
    const {tries} = this.finder;
    this.options.onSearched?.({ask, tookMs, isAnswered, tries});
  }
}
