/** Average sizes of the requests and answers of each queue, as measured at this gateway. */

/** Weight of the newest sample in the moving average. */
const NEWEST_WEIGHT = 0.1;

/** Moving averages; requests of other gateways are assumed to be alike. */
export class RequestSizes {
  private readonly promptTokens = new Map<string, number>();
  private readonly events = new Map<string, number>();

  private constructor() {}

  /**
   * Creates averages without samples.
   *
   * @example
   * const sizes = RequestSizes.create();
   */
  static create(): RequestSizes {
    return new RequestSizes();
  }

  recordPrompt(queue: string, promptTokens: number): void {
    recordSample(this.promptTokens, queue, promptTokens);
  }

  /** Records the number of events of a complete stream. */
  recordEvents(queue: string, events: number): void {
    recordSample(this.events, queue, events);
  }

  /** Returns the averages of a queue; 0 for what was not measured yet. */
  find(queue: string): {promptTokens: number; events: number} {
    return {
      promptTokens: this.promptTokens.get(queue) ?? 0,
      events: this.events.get(queue) ?? 0,
    };
  }
}

function recordSample(
  averages: Map<string, number>,
  queue: string,
  sample: number,
): void {
  const average = averages.get(queue) ?? sample;
  averages.set(queue, average + (sample - average) * NEWEST_WEIGHT);
}
