/** One simulated engine host, with the state machine of a real engine. */
import {BackendView} from '../../src/coordination/groups/backend_view';
import {computeReadyMs} from '../../src/coordination/groups/compute_ready_ms';
import {BackendRegistration} from '../../src/protocol/backend_registration';
import {EngineGroup} from '../../src/protocol/engine_group';
import {EngineProfile} from '../../src/protocol/engine_profile';

type Model = EngineProfile['models'][number];

/** Work in progress: joining a group, or staging a copy of the weights on the host. */
interface Work {
  readonly model: string;
  readonly doneAt: number;
}

/** Executes orders and reports its state; the caller passes the time, in milliseconds. */
export class EngineHost {
  /** The model in memory. */
  loadedModel: string | undefined;
  /** Models with a local copy of the weights, the newest last. */
  stagedModels: string[] = [];
  group: BackendRegistration['group'];
  silentSince: number | undefined;
  /** The host is lost for good. */
  isLost = false;
  private seenAt = 0;
  private joining: Work | undefined;
  private staging: Work | undefined;
  private opensAt = Infinity;

  private constructor(
    readonly id: string,
    readonly domain: string,
    private readonly profile: EngineProfile,
  ) {}

  /**
   * Creates a host without weights.
   *
   * @example
   * const host = EngineHost.create('a-1', 'a', profile);
   */
  static create(
    id: string,
    domain: string,
    profile: EngineProfile,
  ): EngineHost {
    return new EngineHost(id, domain, profile);
  }

  /** The model that the host is loading from the store or its local copy. */
  get loading(): string | undefined {
    return this.staging?.model ?? this.joining?.model;
  }

  /** Advances to this time and finishes work that is due. */
  advance(now: number): void {
    if (this.silentSince === undefined) {
      this.seenAt = now;
    }
    const {joining, staging} = this;
    if (joining && joining.doneAt <= now && this.group) {
      this.joining = undefined;
      this.loadedModel = joining.model;
      this.group = {...this.group, state: 'ready'};
      // The joined model becomes the newest local copy, even if it was in memory before.
      this.addCopy(joining.model);
    }
    if (this.opensAt <= now && this.group) {
      this.opensAt = Infinity;
      this.group = {...this.group, state: 'open'};
    }
    if (staging && staging.doneAt <= now) {
      this.staging = undefined;
      this.addCopy(staging.model);
    }
  }

  /** True while work of this kind is in progress. */
  isBusy(kind: 'join' | 'stage'): boolean {
    return (kind === 'join' ? this.joining : this.staging) !== undefined;
  }

  isMemberOf({name, epoch}: Pick<EngineGroup, 'name' | 'epoch'>): boolean {
    return this.group?.name === name && this.group.epoch === epoch;
  }

  /** Joins a group; `slowdown` is above 1 while too many hosts load at once. */
  join(group: EngineGroup, model: Model, now: number, slowdown: number): void {
    const durationMs = computeReadyMs(this.createView(), model) * slowdown;
    const rank = group.members.findIndex(
      ({incarnation}) => incarnation === this.id,
    );
    const {name, epoch} = group;
    this.loadedModel =
      this.loadedModel === model.name ? this.loadedModel : undefined;
    this.joining = {model: model.name, doneAt: now + durationMs};
    this.opensAt = Infinity;
    this.group = {name, epoch, rank, state: 'joining'};
  }

  stage(model: Model, now: number, slowdown: number): void {
    const doneAt = now + model.loadMs * slowdown;
    this.staging = {model: model.name, doneAt};
  }

  open(now: number): void {
    this.opensAt = Math.min(this.opensAt, now + this.profile.openMs);
  }

  close(): void {
    this.opensAt = Infinity;
    this.group = this.group && {...this.group, state: 'ready'};
  }

  leave(): void {
    this.opensAt = Infinity;
    this.group = undefined;
  }

  /** Creates the view that control has of this host. */
  createView(): BackendView {
    const registration: BackendRegistration = {
      incarnation: this.id,
      pool: 'p',
      address: `${this.id}:1`,
      zone: this.domain,
      isLeaving: false,
      sequence: 1,
      slots: this.profile.slots,
      domain: this.domain,
      stagedModels: [...this.stagedModels],
      model: this.loadedModel,
      group: this.group,
    };
    const {seenAt, loadedModel: loadedModel} = this;
    return {registration, seenAt, firstSeenAt: 0, loadedModel: loadedModel};
  }

  private addCopy(model: string): void {
    const others = this.stagedModels.filter(name => name !== model);
    this.stagedModels = [...others, model].slice(-this.profile.keptModels);
  }
}
