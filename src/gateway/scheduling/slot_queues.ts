/** The queues of a gateway, one for each pool and model. */
import {Clock} from '../../common/clock';
import {EngineProfile} from '../../protocol/engine_profile';
import {QueueReport} from '../../protocol/queue_report';
import {AdmissionSource} from './admission_source';
import {SlotQueue} from './slot_queue';

interface SlotQueueKey {
  readonly pool: string;
  readonly model: string;
  readonly engine: EngineProfile;
}

/** Stands for all models that the rules do not know, of which callers may name any number. */
const UNKNOWN_MODEL = '';

/** Creates queues when they are first needed. */
export class SlotQueues {
  private readonly queues = new Map<string, SlotQueue>();

  private constructor(
    private readonly clock: Clock,
    private readonly admissions: AdmissionSource | undefined,
  ) {}

  /**
   * Creates a gateway's queues.
   *
   * @param admissions what the leader admits; without it each gateway decides by its own queue
   * @example
   * const queues = SlotQueues.create(clock, admissions);
   */
  static create(clock: Clock, admissions?: AdmissionSource): SlotQueues {
    return new SlotQueues(clock, admissions);
  }

  /** Returns the queue for the slots of a model, by the engine's newest figures; models that the engine does not have share one. */
  get({pool, model: named, engine}: SlotQueueKey): SlotQueue {
    const isKnown = engine.models.some(({name}) => name === named);
    const model = isKnown ? named : UNKNOWN_MODEL;
    const key = `${pool} ${model}`;
    const {clock, admissions} = this;
    const queue =
      this.queues.get(key) ??
      SlotQueue.create({clock, pool, model, admissions}, engine);
    queue.setEngine(engine);
    this.queues.set(key, queue);
    return queue;
  }

  /** Describes the queues with recent requests, for the leader. */
  describe(): QueueReport[] {
    return [...this.queues.values()].flatMap(queue => queue.describe() ?? []);
  }
}
