/** Logs how long the hosts of a group that ended by choice were out of use. */
import {EventRing} from '../common/event_ring';
import {EngineAction} from '../coordination/groups/engine_action';
import {EnginePlanInput} from '../coordination/groups/engine_plan_input';

/** A group that was ended for a better use of its hosts. */
interface Move {
  readonly pool: string;
  readonly name: string;
  readonly endedAt: number;
  readonly model: string;
  readonly reason: string;
}

/** Follows each group that the planner ended by choice until its hosts are free. */
export class GroupMoveLog {
  private readonly moves = new Map<string, Move>();

  private constructor(private readonly events: EventRing) {}

  /**
   * Creates a log without moves.
   *
   * @example
   * const moves = GroupMoveLog.create(events);
   * moves.record(actions, input);
   */
  static create(events: EventRing): GroupMoveLog {
    return new GroupMoveLog(events);
  }

  /** Forgets the moves, since another process led meanwhile. */
  clear(): void {
    this.moves.clear();
  }

  /** Records which moves of a pool have ended, and takes note of those that the plan begins. */
  record(actions: readonly EngineAction[], input: EnginePlanInput): void {
    const {now, pool, groups, isSaturated} = input;
    for (const [key, move] of this.moves) {
      const isGone = !groups.some(group => createKey(group) === key);
      if (move.pool === pool && isGone) {
        this.moves.delete(key);
        this.events.record({
          type: 'move-finished',
          subject: 'group',
          id: move.name,
          reason: move.reason,
          details: {
            model: move.model,
            tookMs: Math.round(now - move.endedAt),
            isSaturated: isSaturated(move.model),
          },
        });
      }
    }
    for (const action of actions) {
      const group =
        action.type === 'end-group' && action.isMove
          ? groups.find(
              ({name, epoch}) => name === action.name && epoch === action.epoch,
            )
          : undefined;
      if (group) {
        const {name, model} = group;
        const {reason} = action;
        const move = {pool, name, model, reason, endedAt: now};
        this.moves.set(createKey(group), move);
      }
    }
  }
}

function createKey({
  pool,
  name,
  epoch,
}: Pick<EnginePlanInput['groups'][number], 'pool' | 'name' | 'epoch'>): string {
  return `${pool} ${name} ${epoch}`;
}
