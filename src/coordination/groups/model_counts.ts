/** Counts each model's groups and spares, and compares its hosts with its share of the load. */
import {EngineProfile} from '../../protocol/engine_profile';
import {EnginePlanInput} from './engine_plan_input';
import {isHeldByUnreachableHead} from './is_held_by_unreachable_head';

type Model = EngineProfile['models'][number];

/** Running counts per model while one plan is computed. */
export class ModelCounts {
  private constructor(
    private readonly groups: Map<string, number>,
    private readonly spares: Map<string, number>,
  ) {}

  /**
   * Counts the committed groups. An ending group counts, since it is soon formed
   * again from its hosts, unless an unreachable head holds them.
   *
   * @example
   * const counts = ModelCounts.create(input);
   */
  static create(input: EnginePlanInput): ModelCounts {
    const counts = new ModelCounts(new Map(), new Map());
    input.groups
      .filter(group => !isHeldByUnreachableHead(group, input))
      .forEach(({model}) => counts.addGroup(model));
    return counts;
  }

  /**
   * Counts every committed group, including those held by an unreachable head.
   * They return within seconds, sooner than reassigned hosts could reload the
   * model that they gave up.
   *
   * @example
   * const counts = ModelCounts.createWithHeld(input);
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

  /** Records a host outside of groups that has this model in memory or is loading it. */
  addSpare(model: string): void {
    this.spares.set(model, (this.spares.get(model) ?? 0) + 1);
  }

  countGroups(model: string): number {
    return this.groups.get(model) ?? 0;
  }

  /** Hosts in groups divided by the model's share of the load; the lowest value has the greatest need. */
  computeHostsPerShare({name, size, share}: Model): number {
    const hosts = this.countGroups(name) * size;
    return hosts / Math.max(share, Number.EPSILON);
  }

  /** Like `computeHostsPerShare`, with the spares that have the model. */
  computeSupplyPerShare({name, size, share}: Model): number {
    const hosts = this.countGroups(name) * size + (this.spares.get(name) ?? 0);
    return hosts / Math.max(share, Number.EPSILON);
  }
}
