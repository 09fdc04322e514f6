/** Models for which requests were recently refused because no slot was free. */
import {Clock} from '../../common/clock';

/** A refusal indicates a need for more hosts for this long. */
const SATURATED_MS = 1_000;

/** Callers may name any number of models that do not exist; the newest are kept. */
const MAX_MODELS = 256;

/** Reported to the control plane as "pressed". */
export class SaturatedModels {
  private readonly refusedAt = new Map<string, number>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates an empty list.
   *
   * @example
   * const saturated = SaturatedModels.create(clock);
   */
  static create(clock: Clock): SaturatedModels {
    return new SaturatedModels(clock);
  }

  /** Records a refusal; true if the control plane should be notified at once. */
  record(model: string): boolean {
    const now = this.clock.now();
    const isNewlySaturated =
      now - (this.refusedAt.get(model) ?? -Infinity) > SATURATED_MS;
    // Inserted again, so that the first is the one refused the longest time ago.
    this.refusedAt.delete(model);
    this.refusedAt.set(model, now);
    const [oldest] = this.refusedAt.keys();
    if (this.refusedAt.size > MAX_MODELS) {
      this.refusedAt.delete(oldest);
    }
    return isNewlySaturated;
  }

  list(): string[] {
    const since = this.clock.now() - SATURATED_MS;
    return [...this.refusedAt].flatMap(([model, at]) =>
      at > since ? [model] : [],
    );
  }
}
