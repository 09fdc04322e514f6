/** The demand of the deployment in docs/design/contention.md, and the profile of its engines. */
import {EngineProfile} from '../../src/protocol/engine_profile';
import {ModelDemand} from '../../src/protocol/model_demand';
import {QueueReport} from '../../src/protocol/queue_report';
import {PROFILE} from './engine_plan';

const [BIG, LOW] = PROFILE.models;

/** Model A needs 8 hosts for a group, B 4; the paces are chosen so that B needs about 4 groups and A less than 1. */
export const CONTENTION_PROFILE: EngineProfile = {
  ...PROFILE,
  models: [
    {...BIG, name: 'A', size: 8, pace: 0.6, share: 0.5},
    {...LOW, name: 'B', size: 4, pace: 0.6, share: 0.5},
  ],
  stepMs: 6.07,
  stepMsPerRequest: 0.34,
  stepsPerEvent: 4,
};

/** Arrivals a second by urgency, and the tokens of a request. */
export const CONTENTION_ARRIVALS = {
  A: {levels: {1: 7, 2: 7}, promptTokens: 1_600, answerTokens: 140},
  B: {levels: {0: 103}, promptTokens: 674, answerTokens: 92},
} as const;

/**
 * Creates the demand as gateways measure it.
 *
 * @param factor of the arrivals by model; 1 by default
 * @example
 * const demand = createContentionDemand({B: 1.1});
 */
export function createContentionDemand(
  factor: Readonly<Record<string, number>> = {},
): Record<string, ModelDemand> {
  return Object.fromEntries(
    Object.entries(CONTENTION_ARRIVALS).map(
      ([model, {levels, promptTokens, answerTokens}]) => {
        const rate =
          Object.values(levels).reduce((sum, part) => sum + part, 0) *
          (factor[model] ?? 1);
        return [
          model,
          {
            requestsPerSecond: rate,
            promptTokensPerSecond: rate * promptTokens,
            answerTokensPerSecond: rate * answerTokens,
          },
        ];
      },
    ),
  );
}

/**
 * Creates the reports of a gateway that receives these requests.
 *
 * @example
 * const queues = createContentionQueues('p');
 */
export function createContentionQueues(pool: string): QueueReport[] {
  return Object.entries(CONTENTION_ARRIVALS).map(([model, {levels}]) => ({
    pool,
    model,
    levels: Object.entries(levels).map(([urgency, requestsPerSecond]) => ({
      urgency: Number(urgency),
      waiting: 0,
      requestsPerSecond,
    })),
  }));
}
