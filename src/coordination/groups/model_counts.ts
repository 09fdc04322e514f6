/** How many groups each model has, and which model lacks hosts most. */
import {EngineProfile} from '../../protocol/engine_profile';
import {EnginePlanInput} from './engine_plan_input';
import {isHeldByUnreachableHead} from './is_held_by_unreachable_head';

type Model = EngineProfile['models'][number];

/** Counts that follow while one plan is made. */
export class ModelCounts {
  private constructor(
    private readonly groups: Map<string, number>,
    private readonly spares: Map<string, number>,
  ) {}

  /**
   * Counts the committed groups. One that ends is soon formed anew from its
   * hosts, unless a silent head holds them.
   *
   * @example
   * const counts = EngineCounts.create(input);
   */
  static create(input: EnginePlanInput): ModelCounts {
    const counts = new ModelCounts(new Map(), new Map());
    input.groups
      .filter(group => !isHeldByUnreachableHead(group, input))
      .forEach(({model}) => counts.addGroup(model));
    return counts;
  }

  /**
   * Counts every committed group, also those that a silent head holds: they are
   * back within seconds, which is less than hosts that were moved take to load
   * what they gave up.
   *
   * @example
   * const counts = EngineCounts.createOfAll(input);
   */
  static createWithHeld({
    groups,
  }: Pick<EnginePlanInput, 'groups'>): ModelCounts {
    const counts = new ModelCounts(new Map(), new Map());
    groups.forEach(({model}) => counts.addGroup(model));
    return counts;
  }

  addGroup(model: string): void {
    this.groups.set(model, this.countGroups(model) + 1);
  }

  /** Notes a host outside of groups that has this model, or is loading it. */
  addSpare(model: string): void {
    this.spares.set(model, (this.spares.get(model) ?? 0) + 1);
  }

  countGroups(model: string): number {
    return this.groups.get(model) ?? 0;
  }

  /** Hosts in groups for the model's share of the work; the least is the neediest. */
  computeHostsPerShare({name, size, share}: Model): number {
    const hosts = this.countGroups(name) * size;
    return hosts / Math.max(share, Number.EPSILON);
  }

  /** The same with the spares that have the model. */
  computeSupplyPerShare({name, size, share}: Model): number {
    const hosts = this.countGroups(name) * size + (this.spares.get(name) ?? 0);
    return hosts / Math.max(share, Number.EPSILON);
  }
}
