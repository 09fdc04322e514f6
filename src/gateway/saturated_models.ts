/** Models of which requests were refused lately for want of a place. */
import {Clock} from '../common/clock';

/** A refusal speaks for more hosts this long. */
const PRESSED_MS = 1_000;

/** What this gateway tells control of them. */
export class SaturatedModels {
  private readonly pressedAt = new Map<string, number>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates an empty list.
   *
   * @example
   * const pressed = PressedModels.create(clock);
   */
  static create(clock: Clock): SaturatedModels {
    return new SaturatedModels(clock);
  }

  /** Notes a refusal; true when control should hear of it at once. */
  record(model: string): boolean {
    const now = this.clock.now();
    const isNews = now - (this.pressedAt.get(model) ?? -Infinity) > PRESSED_MS;
    this.pressedAt.set(model, now);
    return isNews;
  }

  list(): string[] {
    const since = this.clock.now() - PRESSED_MS;
    return [...this.pressedAt].flatMap(([model, at]) =>
      at > since ? [model] : [],
    );
  }
}
