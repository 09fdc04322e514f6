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
export class EngineController {
  private desiredGroup: Group | null = null;
  private standbyModel: string | null = null;
  private preloaded: string | undefined;
  private accepted: {groupId: string; epoch: number; url: string} | undefined;
  private isSending = false;
  private isClosed = false;

  private constructor(private readonly options: EngineOrdersOptions) {}

  /**
   * Creates a giver of orders that has nothing to order yet.
   *
   * @example
   * const orders = EngineOrders.create({hostId, backend, findUrl});
   */
  static create(options: EngineOrdersOptions): EngineController {
    return new EngineController(options);
  }

  /** Wants the engine to work for this group, or for none. */
  setDesiredGroup(group: Group | null): void {
    this.desiredGroup = group;
    void this.sendUntilAccepted();
  }

  /** Wants an engine that has no group to load this model in advance. */
  setStandbyModel(model: string | null): void {
    this.standbyModel = model;
    const isPending = model !== null && this.preloaded !== model;
    if (this.desiredGroup === null && isPending) {
      void this.sendUntilAccepted();
    }
  }

  /** True once the engine took the order for this group and epoch. */
  hasAccepted(group: Group): boolean {
    const {accepted} = this;
    return (
      accepted?.groupId === group.id &&
      accepted.epoch === group.epoch &&
      accepted.url === this.options.findUrl()
    );
  }

  /** Orders again when the engine is another one than before. */
  refresh(): void {
    const isPending =
      this.desiredGroup !== null && !this.hasAccepted(this.desiredGroup);
    if (isPending) {
      void this.sendUntilAccepted();
    }
  }

  close(): void {
    this.isClosed = true;
  }

  private async sendUntilAccepted(): Promise<void> {
    if (this.isSending) {
      return;
    }
    this.isSending = true;
    while (!this.isClosed && this.hasPendingOrder()) {
      const isDone = await this.sendPendingOrder().catch(() => false);
      if (!isDone) {
        await new Promise(resolve => setTimeout(resolve, RETRY_MS));
      }
    }
    this.isSending = false;
  }

  private hasPendingOrder(): boolean {
    if (this.desiredGroup) {
      return !this.hasAccepted(this.desiredGroup);
    }
    return this.standbyModel !== null && this.preloaded !== this.standbyModel;
  }

  private sendPendingOrder(): Promise<boolean> {
    return this.desiredGroup
      ? this.sendGroupOrder(this.desiredGroup)
      : this.sendLoadOrder();
  }

  private async sendLoadOrder(): Promise<boolean> {
    const url = this.options.findUrl();
    const model = this.standbyModel;
    if (!url || model === null) {
      return false;
    }
    const isDone = await this.sendOrder(url, '/load', {model});
    this.preloaded = isDone ? model : undefined;
    return isDone;
  }

  private async sendGroupOrder(group: Group): Promise<boolean> {
    const {hostId, findUrl} = this.options;
    const url = findUrl();
    if (!url) {
      return false;
    }
    // Plain services take no orders.
    const isDone =
      group.kind === 'service' ||
      (await this.sendOrder(url, '/orders', {
        fencing: group.fencing,
        group: group.id,
        model: group.name,
        rank: group.members.findIndex(member => member.hostId === hostId),
        members: group.members.map(member => member.hostId),
      }));
    if (isDone) {
      this.accepted = {groupId: group.id, epoch: group.epoch, url};
      this.preloaded = undefined;
    }
    return isDone;
  }

  private async sendOrder(
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
