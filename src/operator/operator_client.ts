/** Calls that operators make to control. */
import {KeyObject, randomBytes, sign} from 'node:crypto';
import {z} from 'zod';
import {ServerAddress} from '../common/server_address';
import {computeKeyId} from '../protocol/compute_key_id';
import {ControlClient} from '../protocol/control_client';
import {encodeDrainOrder} from '../protocol/encode_drain_order';
import {encodeEvacuationOrder} from '../protocol/encode_evacuation_order';
import {encodeLiftOrder} from '../protocol/encode_lift_order';
import {FleetStatus} from '../protocol/fleet_status';
import {SignedBundle} from '../protocol/signed_bundle';
import {JournalEntry} from '../state/journal_entry';
import {Suspect} from '../state/suspect';
import {TlsCredentials} from '../transport/tls_credentials';
import {OperatorError} from './operator_error';
import {QuorumView} from './quorum_view';
import {readQuorumStatuses} from './read_quorum_statuses';

/** A suspect request with its name, as control lists it. */
const ListedSuspect = Suspect.extend({name: z.string()});

/** How to reach control, and how long to wait for it. */
interface OperatorClientOptions {
  readonly addresses: readonly ServerAddress[];
  readonly security?: TlsCredentials;
  /** Timeout of each call, in milliseconds. */
  readonly timeoutMs: number;
}

/** Client of the control leader; every call is safe to repeat. */
export class OperatorClient {
  private constructor(
    private readonly client: ControlClient,
    private readonly timeoutMs: number,
    private readonly connectionOptions: Parameters<
      typeof readQuorumStatuses
    >[0],
  ) {}

  /**
   * Creates a client with a new incarnation ID.
   *
   * @example
   * const client = OperatorClient.create({addresses: [ServerAddress.parse('127.0.0.1:7000')], timeoutMs: 5000});
   */
  static create(options: OperatorClientOptions): OperatorClient {
    const {addresses, security, timeoutMs} = options;
    const incarnation = randomBytes(8).toString('hex');
    const identity = {
      program: 'operator' as const,
      id: 'operator',
      incarnation,
    };
    return new OperatorClient(
      ControlClient.create({addresses, identity, security}),
      timeoutMs,
      {addresses, identity, security},
    );
  }

  /**
   * Asks control to put a signed bundle in force.
   *
   * @throws OperatorError when no leader answers
   */
  async rollOut(bundle: SignedBundle) {
    return this.waitForAnswer(
      this.client.ask({type: 'roll-out-ask', bundle}, this.timeoutMs),
    );
  }

  /** @throws OperatorError when no leader answers */
  async readStatus(): Promise<FleetStatus> {
    const answer = await this.waitForAnswer(
      this.client.ask({type: 'status-ask'}, this.timeoutMs),
    );
    return FleetStatus.parse(answer.status);
  }

  /** Asks every control process how it sees the quorum; needs no leader and takes a second at most. */
  readQuorum(): Promise<QuorumView[]> {
    return readQuorumStatuses(this.connectionOptions);
  }

  /**
   * Reads the journal entries after an index, of one subject and ID if given.
   *
   * @throws OperatorError when no leader answers
   */
  async readJournal(filter: {
    subject?: string;
    id?: string;
    after: number;
  }): Promise<JournalEntry[]> {
    const call = this.client.ask(
      {type: 'journal-ask', ...filter},
      this.timeoutMs,
    );
    const answer = await this.waitForAnswer(call);
    return answer.entries.map(entry => JournalEntry.parse(entry));
  }

  /**
   * Signs and sends an order to drain a host, or to end its drain.
   *
   * @throws OperatorError when no leader answers
   */
  async setDraining(hostId: string, isDraining: boolean, key: KeyObject) {
    const time = Date.now();
    const text = encodeDrainOrder(hostId, isDraining, time);
    const signature = sign(null, Buffer.from(text), key).toString('base64');
    const keyId = computeKeyId(key);
    const order = {
      type: 'drain-ask' as const,
      hostId,
      isDraining,
      time,
      keyId,
      signature,
    };
    return this.waitForAnswer(this.client.ask(order, this.timeoutMs));
  }

  /**
   * Signs and sends an order to evacuate an availability zone, or to restore it.
   *
   * @throws OperatorError when no leader answers
   */
  async setEvacuation(zone: string, isEvacuated: boolean, key: KeyObject) {
    const time = Date.now();
    const text = encodeEvacuationOrder(zone, isEvacuated, time);
    const signature = sign(null, Buffer.from(text), key).toString('base64');
    const order = {
      type: 'evacuation-ask' as const,
      zone,
      isEvacuated,
      time,
      keyId: computeKeyId(key),
      signature,
    };
    return this.waitForAnswer(this.client.ask(order, this.timeoutMs));
  }

  /**
   * Lists the requests that were running on backend servers when these crashed.
   *
   * @throws OperatorError when no leader answers
   */
  async listSuspects(): Promise<Array<z.infer<typeof ListedSuspect>>> {
    const call = this.client.ask({type: 'suspects-ask'}, this.timeoutMs);
    const answer = await this.waitForAnswer(call);
    return answer.suspects.map(suspect => ListedSuspect.parse(suspect));
  }

  /**
   * Signs and sends an order that lets a convicted request run again.
   *
   * @throws OperatorError when no leader answers
   */
  async revokeVerdict(name: string, key: KeyObject) {
    const time = Date.now();
    const text = encodeLiftOrder(name, time);
    const signature = sign(null, Buffer.from(text), key).toString('base64');
    const keyId = computeKeyId(key);
    const order = {type: 'lift-ask' as const, name, time, keyId, signature};
    return this.waitForAnswer(this.client.ask(order, this.timeoutMs));
  }

  close(): void {
    this.client.close();
  }

  /** Turns the failure of a call into the error with the exit code for an unreachable control. */
  private async waitForAnswer<T>(answer: Promise<T>): Promise<T> {
    try {
      return await answer;
    } catch (error) {
      const options = {cause: error as Error, info: {kind: 'unreachable'}};
      throw new OperatorError(options, 'control is not reachable');
    }
  }
}
