/** Logs which models have fewer groups than their share of the hosts. */
import {EventRing} from '../common/event_ring';
import {EnginePlanInput} from '../coordination/groups/engine_plan_input';
import {isHeldByUnreachableHead} from '../coordination/groups/is_held_by_unreachable_head';

/** Records a line when the groups of a model that lacks some change, and one when it has them again. */
export class ModelShortageLog {
  /** The last shortage that was logged, by pool and model. */
  private readonly shortages = new Map<string, string>();

  private constructor(private readonly events: EventRing) {}

  /**
   * Creates a log that has recorded nothing.
   *
   * @example
   * const shortages = ModelShortageLog.create(events);
   * shortages.record(input);
   */
  static create(events: EventRing): ModelShortageLog {
    return new ModelShortageLog(events);
  }

  /** Forgets what was recorded, since another process led meanwhile. */
  clear(): void {
    this.shortages.clear();
  }

  /** Records what changed for the models of a pool. */
  record(input: EnginePlanInput): void {
    input.profile.models.forEach(({name}) => this.recordModel(name, input));
  }

  private recordModel(model: string, input: EnginePlanInput): void {
    const groups = input.groups.filter(group => group.model === model);
    const active = groups.filter(({isEnding}) => !isEnding);
    const held = groups.filter(group => isHeldByUnreachableHead(group, input));
    const desired = input.desiredGroups.get(model) ?? 0;
    const isShort = active.length < desired;
    const details = {
      pool: input.pool,
      groups: active.length,
      ending: groups.length - active.length - held.length,
      held: held.length,
      desired,
      isSaturated: input.isSaturated(model),
    };
    const text = isShort ? JSON.stringify(details) : '';
    const key = `${input.pool} ${model}`;
    if ((this.shortages.get(key) ?? '') === text) {
      return;
    }
    this.shortages.set(key, text);
    this.events.record({
      type: isShort ? 'model-short' : 'model-complete',
      subject: 'group',
      id: model,
      reason: isShort
        ? 'it has fewer groups than its share of the hosts'
        : 'it has the groups of its share again',
      details,
    });
  }
}
