/** Tells the engine next to this host which group and epoch it works for. */
import {Group} from '../protocol/group';
import {BackendHttpClient} from '../transport/backend_http_client';

const ORDER_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 200;
const OK = 200;

/** The host, and how to reach its engine. */
interface EngineControllerOptions {
  readonly hostId: string;
  readonly backend: BackendHttpClient;
  /** URL of the engine while it is announced. */
  readonly findUrl: () => string | undefined;
}

/**
 * Sends orders one at a time. An engine that ignores the fencing number must never
 * receive two orders at once, so a new order waits until the previous one has ended.
 */
export class EngineController {
  private desiredGroup: Group | null = null;
  private standbyModel: string | null = null;
  private preloaded: string | undefined;
  private accepted: {groupId: string; epoch: number; url: string} | undefined;
  private isSending = false;
  private isClosed = false;

  private constructor(private readonly options: EngineControllerOptions) {}

  /**
   * Creates a controller that has no order to send yet.
   *
   * @example
   * const engine = EngineController.create({hostId, backend, findUrl});
   */
  static create(options: EngineControllerOptions): EngineController {
    return new EngineController(options);
  }

  /** Sets the group that the engine should work for, or none. */
  setDesiredGroup(group: Group | null): void {
    this.desiredGroup = group;
    void this.sendUntilAccepted();
  }

  /** Sets the model that the engine should preload while it has no group. */
  setStandbyModel(model: string | null): void {
    this.standbyModel = model;
    const isPending = model !== null && this.preloaded !== model;
    if (this.desiredGroup === null && isPending) {
      void this.sendUntilAccepted();
    }
  }

  /** Whether the current engine accepted the order for this group and epoch. */
  hasAccepted(group: Group): boolean {
    const {accepted} = this;
    return (
      accepted?.groupId === group.id &&
      accepted.epoch === group.epoch &&
      accepted.url === this.options.findUrl()
    );
  }

  /** Sends the order again when the engine was replaced by another one. */
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
        await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
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
    // Plain services have no endpoint for orders.
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
    answer.discard();
    return answer.status === OK;
  }
}
