/** Measures how long the groups of a model that were lost took to be replaced. */
import {Clock} from '../../common/clock';
import {GatewayTarget} from '../../protocol/gateway_target';
import {createTargetKey} from './create_target_key';

/** A group that forms later than this after a loss is not its replacement: hosts were reassigned or came back. */
const MAX_REPAIR_MS = 10_000;

/** The last repair of each model, by the changes of the table. */
export class RepairTimes {
  /** When a group of the model was lost that has not been replaced yet, by model. */
  private readonly missingSince = new Map<string, number>();
  /** Time from the last loss of a group until a new one formed, by model. */
  private readonly repairMs = new Map<string, number>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates times without repairs.
   *
   * @example
   * const repairs = RepairTimes.create(clock);
   */
  static create(clock: Clock): RepairTimes {
    return new RepairTimes(clock);
  }

  /** Returns how long the last repair of the model took; 0 if there was none. */
  findRepairMs(model: string): number {
    return this.repairMs.get(model) ?? 0;
  }

  /** Records the groups that were lost and formed between two versions of the table. */
  recordChanges(
    before: Iterable<GatewayTarget>,
    after: Iterable<GatewayTarget>,
  ): void {
    const now = this.clock.now();
    const groupsBefore = listGroups(before);
    const groupsAfter = listGroups(after);
    for (const [key, model] of groupsBefore) {
      if (!groupsAfter.has(key)) {
        this.recordGroupLost(model, now);
      }
    }
    for (const [key, model] of groupsAfter) {
      if (!groupsBefore.has(key)) {
        this.recordGroupFormed(model, now);
      }
    }
  }

  recordGroupLost(model: string, now: number): void {
    this.missingSince.set(model, this.missingSince.get(model) ?? now);
  }

  /** Records that a group counted as lost has recovered, so that none is missing. */
  recordRecovery(model: string): void {
    this.missingSince.delete(model);
  }

  private recordGroupFormed(model: string, now: number): void {
    const tookMs = now - (this.missingSince.get(model) ?? -Infinity);
    this.missingSince.delete(model);
    if (tookMs < MAX_REPAIR_MS) {
      this.repairMs.set(model, tookMs);
    }
  }
}

/** Returns the models of the serving groups, by target key. */
function listGroups(targets: Iterable<GatewayTarget>): Map<string, string> {
  return new Map(
    [...targets].flatMap(target =>
      target.model === undefined
        ? []
        : [[createTargetKey(target), target.model] as const],
    ),
  );
}
