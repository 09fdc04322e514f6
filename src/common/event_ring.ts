import {PushSource} from './push_source';
import {runEach} from './run_each';
import {SystemEvent} from './system_event';

/** An event with its sequence number and time in this process. */
interface RecordedEvent extends SystemEvent {
  readonly sequence: number;
  /** Wall-clock time in ISO 8601, for display only; decisions never use it. */
  readonly time: string;
}

const DEFAULT_CAPACITY = 2_000;

/** An in-memory buffer of the newest events of a process, with a stream of new ones. */
export class EventRing {
  private readonly source = PushSource.create<RecordedEvent>();
  /** Emits each event when it is recorded. */
  readonly stream = this.source.stream;
  private events: RecordedEvent[] = [];
  private sequence = 0;

  private constructor(private readonly capacity: number) {}

  /**
   * Creates an empty buffer that retains at least the newest `capacity` events.
   *
   * @example
   * const ring = EventRing.create();
   * ring.record({type: 'started', subject: 'host', id: 'h1', reason: 'SIGTERM not yet seen'});
   */
  static create(capacity = DEFAULT_CAPACITY): EventRing {
    return new EventRing(capacity);
  }

  /** Stores an event and emits it to subscribers. */
  record(event: SystemEvent): void {
    this.sequence += 1;
    const recorded = {
      ...event,
      sequence: this.sequence,
      time: new Date().toISOString(),
    };
    this.events.push(recorded);
    // Trims only at twice the capacity, so that not every event copies the array.
    if (this.events.length > this.capacity * 2) {
      this.events = this.events.slice(-this.capacity);
    }
    // Whoever records an event is not at fault for its observers, and cannot log their errors.
    const [fault] = runEach([() => this.source.push(recorded)]);
    if (fault) {
      process.emitWarning(fault);
    }
  }

  /** Lists the events after a sequence number, oldest first. */
  listSince(sequence: number): readonly RecordedEvent[] {
    return this.events.filter(event => event.sequence > sequence);
  }
}
