/** What the leader admits, as this gateway last heard it. */
import {Clock} from '../../common/clock';
import {EventRing} from '../../common/event_ring';
import {ModelAdmission} from '../../protocol/model_admission';

/** Four answers are missing then; the queues of the others have changed meanwhile. */
const VALID_MS = 1_000;

/** Holds the newest answer until it is too old; the `AdmissionSource` of the queues. */
export class ModelAdmissions {
  private admissions: readonly ModelAdmission[] | undefined;
  /** When the newest of the answered polls was sent. */
  private askedAt = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly events: EventRing,
    private readonly gatewayId: string,
  ) {}

  /**
   * Creates a source without admissions: the gateway goes by its own queue.
   *
   * @example
   * const admissions = ModelAdmissions.create(clock, events, 'gateway-1');
   */
  static create(
    clock: Clock,
    events: EventRing,
    gatewayId: string,
  ): ModelAdmissions {
    return new ModelAdmissions(clock, events, gatewayId);
  }

  /**
   * Takes over the admissions of an answer.
   *
   * @param admissions undefined from a leader that sends none
   * @param askedAt when the poll was sent that this answers
   */
  record(
    admissions: readonly ModelAdmission[] | undefined,
    askedAt: number,
  ): void {
    this.expire();
    if (!admissions) {
      this.drop('control sent no admissions');
      return;
    }
    this.askedAt = Math.max(this.askedAt, askedAt);
    if (!this.admissions) {
      this.recordChange(
        'admissions-received',
        'control sent which urgencies are admitted',
      );
    }
    this.admissions = admissions;
  }

  findAdmission(pool: string, model: string): ModelAdmission | undefined {
    this.expire();
    return this.admissions?.find(
      each => each.pool === pool && each.model === model,
    );
  }

  private expire(): void {
    if (this.clock.now() - this.askedAt >= VALID_MS) {
      this.drop('no answer of control for too long');
    }
  }

  private drop(why: string): void {
    if (this.admissions) {
      this.admissions = undefined;
      this.recordChange(
        'admissions-expired',
        `${why}: requests are scheduled by the queue of this gateway alone`,
      );
    }
  }

  private recordChange(
    type: 'admissions-received' | 'admissions-expired',
    reason: string,
  ): void {
    this.events.record({
      type,
      subject: 'process',
      id: this.gatewayId,
      reason,
      details: {askedMsAgo: Math.round(this.clock.now() - this.askedAt)},
    });
  }
}
