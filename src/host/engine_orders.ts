/** Orders to the engine beside this host: which group and epoch it works for. */
import {Group} from '../protocol/group';
import {BackendHttpClient} from '../transport/backend_http_client';

const ORDER_TIMEOUT_MS = 2_000;
const RETRY_MS = 200;
const OK = 200;

/** Whom to order and how to reach it. */
interface EngineOrdersOptions {
  readonly hostId: string;
  readonly backend: BackendHttpClient;
  /** The engine's address while it is announced. */
  readonly findUrl: () => string | undefined;
}

/**
 * Gives orders one after the other. Engines that ignore the fencing number must
 * never see two orders at once, so a new one waits for the end of the old.
 */
export class EngineOrders {
  private wanted: Group | null = null;
  private standby: string | null = null;
  private loadedInAdvance: string | undefined;
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

  /** Wants an engine that has no group to load this model in advance. */
  setStandby(model: string | null): void {
    this.standby = model;
    const isPending = model !== null && this.loadedInAdvance !== model;
    if (this.wanted === null && isPending) {
      void this.orderUntilDone();
    }
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
    while (!this.isClosed && this.hasWork()) {
      const isDone = await this.orderNext().catch(() => false);
      if (!isDone) {
        await new Promise(resolve => setTimeout(resolve, RETRY_MS));
      }
    }
    this.isOrdering = false;
  }

  private hasWork(): boolean {
    if (this.wanted) {
      return !this.isInForce(this.wanted);
    }
    return this.standby !== null && this.loadedInAdvance !== this.standby;
  }

  private orderNext(): Promise<boolean> {
    return this.wanted ? this.orderGroup(this.wanted) : this.orderStandby();
  }

  private async orderStandby(): Promise<boolean> {
    const url = this.options.findUrl();
    const model = this.standby;
    if (!url || model === null) {
      return false;
    }
    const isDone = await this.send(url, '/load', {model});
    this.loadedInAdvance = isDone ? model : undefined;
    return isDone;
  }

  private async orderGroup(group: Group): Promise<boolean> {
    const {hostId, findUrl} = this.options;
    const url = findUrl();
    if (!url) {
      return false;
    }
    // Plain services take no orders.
    const isDone =
      group.kind === 'service' ||
      (await this.send(url, '/orders', {
        fencing: group.fencing,
        group: group.id,
        model: group.name,
        rank: group.members.findIndex(member => member.hostId === hostId),
        members: group.members.map(member => member.hostId),
      }));
    if (isDone) {
      this.accepted = {groupId: group.id, epoch: group.epoch, url};
      this.loadedInAdvance = undefined;
    }
    return isDone;
  }

  private async send(
    url: string,
    path: string,
    order: object,
  ): Promise<boolean> {
    const answer = await this.options.backend.call({
      url,
      method: 'POST',
      path,
      headers: {'content-type': 'application/json'},
      body: Buffer.from(JSON.stringify(order)),
      signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
    });
    await answer.discard();
    return answer.status === OK;
  }
}
