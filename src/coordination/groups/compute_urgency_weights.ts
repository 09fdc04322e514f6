import {getOwn} from '../../common/get_own';
import {ModelDemand} from '../../protocol/model_demand';
import {QueueReport} from '../../protocol/queue_report';

/**
 * Weight of a request relative to one of the next less urgent level. A late answer is
 * still worth something to its caller, so a level outweighs the next but does not exclude it.
 */
const WEIGHT_PER_LEVEL = 4;

/** The reports of one gateway. */
interface GatewayDemand {
  readonly demand: Readonly<Record<string, ModelDemand>>;
  /** Absent at a gateway that does not report queues. */
  readonly queues?: readonly QueueReport[];
}

/** One pool and the reports of all gateways. */
interface UrgencyWeightsInput {
  readonly pool: string;
  readonly models: readonly string[];
  /** The urgencies that the rules give to requests for this pool. */
  readonly urgencies: readonly number[];
  readonly gateways: readonly GatewayDemand[];
}

/** Requests per second, and the sum of their weights. */
interface Sum {
  rate: number;
  weight: number;
}

/**
 * Computes the mean weight of a request of each model, by the urgency of the arrivals
 * at all gateways. The mean over all requests of the pool is 1. Requests at a gateway
 * that reports no queues have this mean weight, whatever their model.
 *
 * @returns undefined where urgencies do not differ or no gateway reports them
 * @example
 * const weights = computeUrgencyWeights({pool, models, urgencies: [0, 1, 2], gateways});
 */
export function computeUrgencyWeights({
  pool,
  models,
  urgencies,
  gateways,
}: UrgencyWeightsInput): Map<string, number> | undefined {
  const levels = [...new Set(urgencies)].sort((left, right) => right - left);
  if (levels.length < 2) {
    return undefined;
  }
  const sums = new Map<string, Sum>(
    models.map(model => [model, {rate: 0, weight: 0}]),
  );
  const unknownRates = new Map<string, number>();
  for (const {demand, queues} of gateways) {
    for (const report of queues ?? []) {
      const sum = report.pool === pool ? sums.get(report.model) : undefined;
      if (sum) {
        addReport(sum, report, levels);
      }
    }
    if (queues === undefined) {
      for (const model of models) {
        const rate = getOwn(demand, model)?.requestsPerSecond ?? 0;
        unknownRates.set(model, (unknownRates.get(model) ?? 0) + rate);
      }
    }
  }
  const known = [...sums.values()];
  const totalRate = computeSum(known.map(({rate}) => rate));
  if (totalRate <= 0) {
    return undefined;
  }
  const mean = computeSum(known.map(({weight}) => weight)) / totalRate;
  return new Map(
    models.map(model => {
      const {rate, weight} = sums.get(model) ?? {rate: 0, weight: 0};
      const unknownRate = unknownRates.get(model) ?? 0;
      const requests = rate + unknownRate;
      const total = weight / mean + unknownRate;
      return [model, requests > 0 ? total / requests : 1];
    }),
  );
}

function addReport(
  sum: Sum,
  report: QueueReport,
  urgencies: readonly number[],
): void {
  for (const {urgency, requestsPerSecond} of report.levels) {
    const lessUrgent = urgencies.filter(other => other > urgency).length;
    sum.rate += requestsPerSecond;
    sum.weight += requestsPerSecond * WEIGHT_PER_LEVEL ** lessUrgent;
  }
}

function computeSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
