/** Counters and latency histograms of one process, as text for a scraper. */
import {Histogram, build} from 'hdr-histogram-js';
import {Stream} from 'most';
import {Counter, Gauge, Registry, collectDefaultMetrics} from 'prom-client';
import {SystemEvent} from '../common/system_event';

const QUANTILES = [50, 95, 99];
/** Longer requests than this count as this long, in milliseconds. */
const MAX_MS = 120_000;
const REQUEST_EVENT = /^request-(.+)$/;

/** What the metrics are made of. */
interface ProcessMetricsOptions {
  readonly program: string;
  readonly events: Stream<SystemEvent>;
}

/** Counts every event by its type, and how long requests took by their outcome. */
export class ProcessMetrics {
  private readonly registry = new Registry();
  private readonly latencies = new Map<string, Histogram>();
  private readonly counter: Counter;
  private readonly gauge: Gauge;

  private constructor({program, events}: ProcessMetricsOptions) {
    const registers = [this.registry];
    this.registry.setDefaultLabels({program});
    collectDefaultMetrics({register: this.registry});
    this.counter = new Counter({
      name: 'whinreel_events_total',
      help: 'Decisions and changes of state, by type',
      labelNames: ['type'],
      registers,
    });
    this.gauge = new Gauge({
      name: 'whinreel_request_milliseconds',
      help: 'Time of requests from arrival to their end, by outcome',
      labelNames: ['outcome', 'quantile'],
      registers,
    });
    void events.observe(event => this.record(event));
  }

  /**
   * Starts counting.
   *
   * @example
   * const metrics = ProcessMetrics.create({program: 'whinreel-entry', events: entry.events.stream});
   */
  static create(options: ProcessMetricsOptions): ProcessMetrics {
    return new ProcessMetrics(options);
  }

  /** The media type of the text. */
  get contentType(): string {
    return this.registry.contentType;
  }

  /** Everything as text. */
  format(): Promise<string> {
    this.refresh();
    return this.registry.metrics();
  }

  private record({type, details}: SystemEvent): void {
    this.counter.inc({type});
    const outcome = REQUEST_EVENT.exec(type)?.[1];
    const tookMs = details?.tookMs;
    if (outcome !== undefined && typeof tookMs === 'number') {
      this.findLatency(outcome).recordValue(Math.min(tookMs, MAX_MS));
    }
  }

  private findLatency(outcome: string): Histogram {
    const known = this.latencies.get(outcome);
    const histogram = known ?? build({highestTrackableValue: MAX_MS});
    this.latencies.set(outcome, histogram);
    return histogram;
  }

  private refresh(): void {
    for (const [outcome, histogram] of this.latencies) {
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(quantile);
        this.gauge.set({outcome, quantile: String(quantile / 100)}, value);
      }
    }
  }
}
