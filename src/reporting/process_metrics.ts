/** Event counters and request latencies of one process, in the Prometheus text format. */
import {Histogram, build} from 'hdr-histogram-js';
import {Stream} from 'most';
import {Counter, Gauge, Registry, collectDefaultMetrics} from 'prom-client';
import {SystemEvent} from '../common/system_event';

const PERCENTILES = [50, 95, 99];
/** Latencies above this are recorded as this value, in milliseconds. */
const MAX_LATENCY_MS = 120_000;
/** Matches the event that ends a request; the group is its outcome. */
const REQUEST_EVENT = /^request-(.+)$/;
/** Matches the event of a decision about a retry; the group is the verdict. */
const RETRY_EVENT = /^retry-(granted|denied)$/;

/** Type of the event of a response that was not taken as the answer to a request. */
const REJECTION_EVENT = 'response-rejected';
/** Type of the event of a request that an error within the process ended. */
const FAULT_EVENT = 'request-fault';

/** Program name for the labels, and the events to count. */
interface ProcessMetricsOptions {
  readonly program: string;
  readonly events: Stream<SystemEvent>;
}

/** Counts events by type and records the latency of requests by outcome. */
export class ProcessMetrics {
  private readonly registry = new Registry();
  private readonly histograms = new Map<string, Histogram>();
  private readonly eventCounter: Counter;
  private readonly latencyGauge: Gauge;
  private readonly retryCounter: Counter;
  private readonly rejectionCounter: Counter;
  private readonly faultCounter: Counter;

  private constructor({program, events}: ProcessMetricsOptions) {
    const registers = [this.registry];
    this.registry.setDefaultLabels({program});
    collectDefaultMetrics({register: this.registry});
    this.eventCounter = new Counter({
      name: 'whinreel_events_total',
      help: 'Decisions and changes of state, by type',
      labelNames: ['type'],
      registers,
    });
    this.latencyGauge = new Gauge({
      name: 'whinreel_request_milliseconds',
      help: 'Time of requests from arrival to their end, by outcome',
      labelNames: ['outcome', 'quantile'],
      registers,
    });
    this.retryCounter = new Counter({
      name: 'whinreel_retries_total',
      help: 'Retries that the budgets granted and denied, by cause; repetitions within a second count with the next event',
      labelNames: ['verdict', 'cause'],
      registers,
    });
    this.rejectionCounter = new Counter({
      name: 'whinreel_responses_rejected_total',
      help: 'Responses that were not taken as the answer to a request, by cause; repetitions within a second count with the next event',
      labelNames: ['cause'],
      registers,
    });
    this.faultCounter = new Counter({
      name: 'whinreel_request_faults_total',
      help: 'Requests that an error within the process ended; repetitions within a second count with the next event',
      registers,
    });
    void events.observe(event => this.record(event));
  }

  /**
   * Creates metrics that observe `events` from now on.
   *
   * @example
   * const metrics = ProcessMetrics.create({program: 'whinreel-entry', events: entry.events.stream});
   */
  static create(options: ProcessMetricsOptions): ProcessMetrics {
    return new ProcessMetrics(options);
  }

  /** Media type of the text that `format` returns. */
  get contentType(): string {
    return this.registry.contentType;
  }

  /** Formats all metrics in the Prometheus text format. */
  format(): Promise<string> {
    this.refreshLatencyGauge();
    return this.registry.metrics();
  }

  private record({type, details}: SystemEvent): void {
    this.eventCounter.inc({type});
    const outcome = REQUEST_EVENT.exec(type)?.[1];
    const tookMs = details?.tookMs;
    if (outcome !== undefined && typeof tookMs === 'number') {
      this.findHistogram(outcome).recordValue(Math.min(tookMs, MAX_LATENCY_MS));
    }
    const cause = String(details?.cause ?? '');
    const count = 1 + Number(details?.leftOut ?? 0);
    const verdict = RETRY_EVENT.exec(type)?.[1];
    if (verdict !== undefined) {
      this.retryCounter.inc({verdict, cause}, count);
    }
    if (type === REJECTION_EVENT) {
      this.rejectionCounter.inc({cause}, count);
    }
    if (type === FAULT_EVENT) {
      this.faultCounter.inc(count);
    }
  }

  private findHistogram(outcome: string): Histogram {
    const known = this.histograms.get(outcome);
    const histogram = known ?? build({highestTrackableValue: MAX_LATENCY_MS});
    this.histograms.set(outcome, histogram);
    return histogram;
  }

  private refreshLatencyGauge(): void {
    for (const [outcome, histogram] of this.histograms) {
      for (const percentile of PERCENTILES) {
        const value = histogram.getValueAtPercentile(percentile);
        this.latencyGauge.set(
          {outcome, quantile: String(percentile / 100)},
          value,
        );
      }
    }
  }
}
