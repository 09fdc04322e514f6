import {Stream} from 'most';

/** What a decision answers: the next state and what to do about it. */
interface Decision<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/**
 * Folds a stream of events into decisions and performs their effects in order.
 *
 * @param events what happened, in order
 * @param initial the state before the first event
 * @param decide a pure function of state and event
 * @param perform called once for each effect
 * @returns a promise that rejects when a decision or an effect throws
 * @example
 * runDecisions(events.stream, state, decideMembership, effect => send(effect));
 */
export function runDecisions<Event, State, Effect>(
  events: Stream<Event>,
  initial: State,
  decide: (state: State, event: Event) => Decision<State, Effect>,
  perform: (effect: Effect) => void,
): Promise<unknown> {
  return events
    .loop((state: State, event: Event) => {
      const decision = decide(state, event);
      return {seed: decision.state, value: decision.effects};
    }, initial)
    .observe((effects: readonly Effect[]) => effects.forEach(perform));
}
