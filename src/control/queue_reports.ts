/** The newest queue reports of the gateways, and what they may begin by them; in the memory of the leader only. */
import {decideModelAdmission} from '../coordination/scheduling/decide_model_admission';
import {ReportedLevel} from '../coordination/scheduling/reported_level';
import {ModelAdmission} from '../protocol/model_admission';
import {QueueReport} from '../protocol/queue_report';

interface Reported {
  readonly at: number;
  readonly queues: readonly QueueReport[];
  /** When the first of the reports came in that have had waiting requests since, by pool, model and urgency. */
  readonly waitingSince: ReadonlyMap<string, number>;
}

/** Keeps one report for each gateway. */
export class QueueReports {
  private readonly reports = new Map<string, Reported>();
  /** The admissions that each gateway was last sent. */
  private readonly sentTags = new Map<string, string>();

  /** The admissions after the newest report. */
  private tag = '';

  private constructor(private readonly closesLevels: boolean) {}

  /**
   * Creates a table without reports, as a new leader starts.
   *
   * @param closesLevels whether less urgent levels wait for more urgent ones; otherwise only arrivals are summed
   * @example
   * const reports = QueueReports.create(true);
   */
  static create(closesLevels: boolean): QueueReports {
    return new QueueReports(closesLevels);
  }

  /**
   * Replaces the report of a gateway.
   *
   * @param queues undefined from gateways that report no queues
   * @returns true if an admitted urgency has changed since the report before, of any gateway
   */
  record(
    gatewayId: string,
    queues: readonly QueueReport[] | undefined,
    now: number,
  ): boolean {
    if (queues) {
      this.setReport(gatewayId, queues, now);
    } else {
      this.remove(gatewayId);
    }
    const before = this.tag;
    this.tag = createTag(this.decide(now));
    return this.tag !== before;
  }

  private setReport(
    gatewayId: string,
    queues: readonly QueueReport[],
    now: number,
  ): void {
    const before = this.reports.get(gatewayId)?.waitingSince;
    const waitingSince = new Map<string, number>();
    for (const queue of queues) {
      for (const {urgency, waiting} of queue.levels) {
        const key = createLevelKey(queue, urgency);
        if (waiting > 0) {
          waitingSince.set(key, before?.get(key) ?? now);
        }
      }
    }
    this.reports.set(gatewayId, {at: now, queues, waitingSince});
  }

  /** Removes a gateway that is gone. */
  remove(gatewayId: string): void {
    this.reports.delete(gatewayId);
    this.sentTags.delete(gatewayId);
  }

  /** Lists the admissions of all models; undefined for a gateway that reports no queues. */
  list(gatewayId: string, now: number): ModelAdmission[] | undefined {
    if (!this.reports.has(gatewayId)) {
      return undefined;
    }
    const admissions = this.decide(now);
    this.sentTags.set(gatewayId, createTag(admissions));
    return admissions;
  }

  /** True if an admitted urgency differs from what the gateway was last sent. */
  hasChanged(gatewayId: string, now: number): boolean {
    const sent = this.sentTags.get(gatewayId);
    return sent !== undefined && sent !== createTag(this.decide(now));
  }

  private decide(now: number): ModelAdmission[] {
    const models = new Map<
      string,
      {pool: string; model: string; levels: ReportedLevel[]}
    >();
    for (const {at, queues, waitingSince} of this.reports.values()) {
      for (const queue of queues) {
        const {pool, model} = queue;
        const key = `${pool} ${model}`;
        const entry = models.get(key) ?? {pool, model, levels: []};
        models.set(key, entry);
        for (const level of queue.levels) {
          const since = waitingSince.get(createLevelKey(queue, level.urgency));
          const waitingForMs = since === undefined ? undefined : at - since;
          entry.levels.push({...level, ageMs: now - at, waitingForMs});
        }
      }
    }
    return [...models.values()].map(({pool, model, levels}) => {
      const {admittedUrgency, arrivals} = decideModelAdmission(
        levels,
        this.reports.size,
      );
      const admitted = this.closesLevels ? admittedUrgency : null;
      return {pool, model, admittedUrgency: admitted, arrivals};
    });
  }
}

function createLevelKey(queue: QueueReport, urgency: number): string {
  return `${queue.pool} ${queue.model} ${urgency}`;
}

function createTag(admissions: readonly ModelAdmission[]): string {
  return admissions
    .filter(({admittedUrgency}) => admittedUrgency !== null)
    .map(({pool, model, admittedUrgency}) => [pool, model, admittedUrgency])
    .sort()
    .join();
}
