import {PushSource} from './push_source';
import {SystemEvent} from './system_event';

/** An event with its place and time in this process. */
interface RecordedEvent extends SystemEvent {
  readonly sequence: number;
  /** Wall-clock time as ISO 8601, for people; never used in decisions. */
  readonly time: string;
}

const DEFAULT_CAPACITY = 2_000;

/** Keeps the newest events of a process in memory and streams new ones. */
export class EventRing {
  private readonly recorded = PushSource.create<RecordedEvent>();
  /** Events as they are recorded. */
  readonly stream = this.recorded.stream;
  private events: RecordedEvent[] = [];
  private sequence = 0;

  private constructor(private readonly capacity: number) {}

  /**
   * Creates a ring that holds at most `capacity` events.
   *
   * @example
   * const ring = EventRing.create();
   * ring.record({type: 'started', subject: 'host', id: 'h1', reason: 'SIGTERM not yet seen'});
   */
  static create(capacity = DEFAULT_CAPACITY): EventRing {
    return new EventRing(capacity);
  }

  /** Records an event and delivers it to subscribers. */
  record(event: SystemEvent): void {
    this.sequence += 1;
    const recorded = {
      ...event,
      sequence: this.sequence,
      time: new Date().toISOString(),
    };
    this.events.push(recorded);
    if (this.events.length > this.capacity * 2) {
      this.events = this.events.slice(-this.capacity);
    }
    this.recorded.push(recorded);
  }

  /** Lists the events after a sequence number, oldest first. */
  listSince(sequence: number): readonly RecordedEvent[] {
    return this.events.filter(event => event.sequence > sequence);
  }
}
