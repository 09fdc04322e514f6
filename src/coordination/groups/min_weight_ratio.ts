/**
 * Ratio of the weights of two models from which one is more urgent, so that a changing
 * mix of requests does not reorder them.
 */
export const MIN_WEIGHT_RATIO = 2;
