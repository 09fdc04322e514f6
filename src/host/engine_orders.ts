/** Orders to the engine beside this host: which group and epoch it works for. */
import {Group} from '../protocol/group';
import {HttpBackend} from '../transport/http_backend';

const ORDER_TIMEOUT_MS = 2_000;
const RETRY_MS = 200;
const OK = 200;

/** Whom to order and how to reach it. */
interface EngineOrdersOptions {
  readonly hostId: string;
  readonly backend: HttpBackend;
  /** The engine's address while it is announced. */
  readonly findUrl: () => string | undefined;
}

/**
 * Gives orders one after the other. Engines that ignore the fencing number must
 * never see two orders at once, so a new one waits for the end of the old.
 */
export class EngineOrders {
  private wanted: Group | null = null;
  private accepted: {groupId: string; epoch: number; url: string} | undefined;
  private isOrdering = false;
  private isClosed = false;

  private constructor(private readonly options: EngineOrdersOptions) {}

  /**
   * Creates a giver of orders that has nothing to order yet.
   *
   * @example
   * const orders = EngineOrders.create({hostId, backend, findUrl});
   */
  static create(options: EngineOrdersOptions): EngineOrders {
    return new EngineOrders(options);
  }

  /** Wants the engine to work for this group, or for none. */
  setWanted(group: Group | null): void {
    this.wanted = group;
    void this.orderUntilDone();
  }

  /** True once the engine took the order for this group and epoch. */
  isInForce(group: Group): boolean {
    const {accepted} = this;
    return (
      accepted?.groupId === group.id &&
      accepted.epoch === group.epoch &&
      accepted.url === this.options.findUrl()
    );
  }

  /** Orders again when the engine is another one than before. */
  refresh(): void {
    const isPending = this.wanted !== null && !this.isInForce(this.wanted);
    if (isPending) {
      void this.orderUntilDone();
    }
  }

  close(): void {
    this.isClosed = true;
  }

  private async orderUntilDone(): Promise<void> {
    if (this.isOrdering) {
      return;
    }
    this.isOrdering = true;
    while (!this.isClosed && this.wanted && !this.isInForce(this.wanted)) {
      const isDone = await this.order(this.wanted).catch(() => false);
      if (!isDone) {
        await new Promise(resolve => setTimeout(resolve, RETRY_MS));
      }
    }
    this.isOrdering = false;
  }

  private async order(group: Group): Promise<boolean> {
    const {hostId, backend, findUrl} = this.options;
    const url = findUrl();
    if (!url) {
      return false;
    }
    if (group.kind === 'service') {
      // Plain services take no orders.
      this.accepted = {groupId: group.id, epoch: group.epoch, url};
      return true;
    }
    const order = {
      fencing: group.epoch,
      group: group.id,
      model: group.name,
      rank: group.members.findIndex(member => member.hostId === hostId),
      members: group.members.map(member => member.hostId),
    };
    const answer = await backend.call({
      url,
      method: 'POST',
      path: '/orders',
      headers: {'content-type': 'application/json'},
      body: Buffer.from(JSON.stringify(order)),
      signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
    });
    await answer.discard();
    if (answer.status !== OK) {
      return false;
    }
    this.accepted = {groupId: group.id, epoch: group.epoch, url};
    return true;
  }
}
