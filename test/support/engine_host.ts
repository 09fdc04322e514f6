/** One host of the fleet model, by the rules that engines keep. */
import {BackendView} from '../../src/coordination/groups/backend_view';
import {computeReadyMs} from '../../src/coordination/groups/compute_ready_ms';
import {BackendRegistration} from '../../src/protocol/backend_registration';
import {EngineGroup} from '../../src/protocol/engine_group';
import {EngineProfile} from '../../src/protocol/engine_profile';

type Model = EngineProfile['models'][number];

/** Work that takes time: a join, or a load to the host's own copy. */
interface Work {
  readonly model: string;
  readonly doneAt: number;
}

/** Takes orders and tells its state; time is passed in, in milliseconds. */
export class EngineHost {
  /** The model in memory. */
  loadedModel: string | undefined;
  /** Models of which the host has a copy, the newest last. */
  stagedModels: string[] = [];
  group: BackendRegistration['group'];
  silentSince: number | undefined;
  /** It never comes back. */
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

  /** The model that it is reading from the store or its own copy. */
  get loading(): string | undefined {
    return this.staging?.model ?? this.joining?.model;
  }

  /** Lets time pass. */
  advance(now: number): void {
    if (this.silentSince === undefined) {
      this.seenAt = now;
    }
    const {joining, staging} = this;
    if (joining && joining.doneAt <= now && this.group) {
      this.joining = undefined;
      this.loadedModel = joining.model;
      this.group = {...this.group, state: 'ready'};
      // Whatever it joins becomes its newest copy, also what it had in memory.
      this.keepCopy(joining.model);
    }
    if (this.opensAt <= now && this.group) {
      this.opensAt = Infinity;
      this.group = {...this.group, state: 'open'};
    }
    if (staging && staging.doneAt <= now) {
      this.staging = undefined;
      this.keepCopy(staging.model);
    }
  }

  /** True while it cannot take a join or a load of that kind. */
  isBusy(kind: 'join' | 'stage'): boolean {
    return (kind === 'join' ? this.joining : this.staging) !== undefined;
  }

  isMemberOf({name, epoch}: Pick<EngineGroup, 'name' | 'epoch'>): boolean {
    return this.group?.name === name && this.group.epoch === epoch;
  }

  /** Joins a group; `slowness` is over 1 while many load at once. */
  join(group: EngineGroup, model: Model, now: number, slowness: number): void {
    const tookMs = computeReadyMs(this.createView(), model) * slowness;
    const rank = group.members.findIndex(
      ({incarnation}) => incarnation === this.id,
    );
    const {name, epoch} = group;
    this.loadedModel =
      this.loadedModel === model.name ? this.loadedModel : undefined;
    this.joining = {model: model.name, doneAt: now + tookMs};
    this.opensAt = Infinity;
    this.group = {name, epoch, rank, state: 'joining'};
  }

  stage(model: Model, now: number, slowness: number): void {
    const doneAt = now + model.loadMs * slowness;
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

  /** What control has heard of it. */
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
    const {seenAt, loadedModel: heldModel} = this;
    return {registration, seenAt, firstSeenAt: 0, loadedModel: heldModel};
  }

  private keepCopy(model: string): void {
    const others = this.stagedModels.filter(name => name !== model);
    this.stagedModels = [...others, model].slice(-this.profile.keptModels);
  }
}
