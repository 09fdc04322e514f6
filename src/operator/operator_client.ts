/** The operator's calls to control. */
import {KeyObject, randomBytes, sign} from 'node:crypto';
import {z} from 'zod';
import {computeKeyId} from '../protocol/compute_key_id';
import {ControlClient} from '../protocol/control_client';
import {describeDrainOrder} from '../protocol/describe_drain_order';
import {describeLiftOrder} from '../protocol/describe_lift_order';
import {FleetStatus} from '../protocol/fleet_status';
import {SignedBundle} from '../protocol/signed_bundle';
import {JournalEntry} from '../state/journal_entry';
import {Suspect} from '../state/suspect';
import {TransportSecurity} from '../transport/transport_security';
import {OperatorError} from './operator_error';

const ListedSuspect = Suspect.extend({name: z.string()});

/** How to reach control. */
interface OperatorClientOptions {
  readonly addresses: readonly string[];
  readonly security?: TransportSecurity;
  /** Milliseconds for each call. */
  readonly timeoutMs: number;
}

/** Asks the control leader; every call may be repeated safely. */
export class OperatorClient {
  private constructor(
    private readonly client: ControlClient,
    private readonly timeoutMs: number,
  ) {}

  /**
   * Creates a client.
   *
   * @example
   * const client = OperatorClient.create({addresses: ['127.0.0.1:7000'], timeoutMs: 5000});
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
    );
  }

  /** @throws OperatorError when no leader answers */
  async rollOut(bundle: SignedBundle) {
    return this.waitFor(
      this.client.ask({type: 'roll-out-ask', bundle}, this.timeoutMs),
    );
  }

  /** @throws OperatorError when no leader answers */
  async readStatus(): Promise<FleetStatus> {
    const answer = await this.waitFor(
      this.client.ask({type: 'status-ask'}, this.timeoutMs),
    );
    return FleetStatus.parse(answer.status);
  }

  /** @throws OperatorError when no leader answers */
  async readJournal(filter: {
    subject?: string;
    id?: string;
    after: number;
  }): Promise<JournalEntry[]> {
    const ask = this.client.ask(
      {type: 'journal-ask', ...filter},
      this.timeoutMs,
    );
    const answer = await this.waitFor(ask);
    return answer.entries.map(entry => JournalEntry.parse(entry));
  }

  /** @throws OperatorError when no leader answers */
  async setDraining(hostId: string, isDraining: boolean, key: KeyObject) {
    const time = Date.now();
    const text = describeDrainOrder(hostId, isDraining, time);
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
    return this.waitFor(this.client.ask(order, this.timeoutMs));
  }

  /** @throws OperatorError when no leader answers */
  async listSuspects(): Promise<Array<z.infer<typeof ListedSuspect>>> {
    const ask = this.client.ask({type: 'suspects-ask'}, this.timeoutMs);
    const answer = await this.waitFor(ask);
    return answer.suspects.map(suspect => ListedSuspect.parse(suspect));
  }

  /** @throws OperatorError when no leader answers */
  async revokeVerdict(name: string, key: KeyObject) {
    const time = Date.now();
    const text = describeLiftOrder(name, time);
    const signature = sign(null, Buffer.from(text), key).toString('base64');
    const keyId = computeKeyId(key);
    const order = {type: 'lift-ask' as const, name, time, keyId, signature};
    return this.waitFor(this.client.ask(order, this.timeoutMs));
  }

  close(): void {
    this.client.close();
  }

  private async waitFor<T>(answer: Promise<T>): Promise<T> {
    try {
      return await answer;
    } catch (error) {
      const options = {cause: error as Error, info: {kind: 'unreachable'}};
      throw new OperatorError(options, 'control is not reachable');
    }
  }
}
