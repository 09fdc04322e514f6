/**
 * A stream with an imperative `push` method that emits synchronously.
 *
 * `most.fromEvent` emits in a later turn of the event loop, so events can be reordered
 * relative to other work; this source calls its sinks within `push`.
 */
import {Disposable, Scheduler, Sink, Stream} from 'most';
import {runEach} from './run_each';

interface Subscription<T> {
  readonly sink: Sink<T>;
  readonly scheduler: Scheduler;
}

/** How a source behaves without subscribers. */
interface PushSourceOptions {
  /** Whether values are buffered until the first subscriber arrives; otherwise they are dropped. */
  readonly buffersUntilObserved?: boolean;
}

/** Emits pushed values synchronously on a `most` stream. */
export class PushSource<T> {
  /** The pushed values; a subscriber gets those pushed after it subscribed, and the first one the buffered ones too. */
  readonly stream: Stream<T>;
  private readonly subscriptions = new Set<Subscription<T>>();
  private buffered: T[] | undefined;
  private isEnded = false;

  private constructor({buffersUntilObserved = false}: PushSourceOptions) {
    this.buffered = buffersUntilObserved ? [] : undefined;
    this.stream = new Stream<T>({
      run: (sink, scheduler) => this.subscribe(sink, scheduler),
    });
  }

  /**
   * Creates a source without subscribers.
   *
   * @example
   * const numbers = PushSource.create<number>();
   * void numbers.stream.observe(value => use(value));
   * numbers.push(1);
   */
  static create<T>(options: PushSourceOptions = {}): PushSource<T> {
    return new PushSource<T>(options);
  }

  /** Emits a value to all subscribers before it returns. */
  push(value: T): void {
    if (this.buffered) {
      this.buffered.push(value);
      return;
    }
    // Each subscriber gets the value, whichever of them fails.
    const [fault] = runEach(
      [...this.subscriptions].map(
        ({sink, scheduler}) =>
          () =>
            sink.event(scheduler.now(), value),
      ),
    );
    if (fault) {
      throw fault;
    }
  }

  /** Ends the stream. Values pushed later are dropped. */
  end(): void {
    this.isEnded = true;
    const subscriptions = [...this.subscriptions];
    this.subscriptions.clear();
    for (const {sink, scheduler} of subscriptions) {
      sink.end(scheduler.now());
    }
  }

  private subscribe(sink: Sink<T>, scheduler: Scheduler): Disposable<T> {
    const subscription = {sink, scheduler};
    this.subscriptions.add(subscription);
    this.flushBuffered();
    if (this.isEnded) {
      this.end();
    }
    return {
      dispose: () => {
        this.subscriptions.delete(subscription);
        return Promise.resolve();
      },
    } as unknown as Disposable<T>;
  }

  private flushBuffered(): void {
    const buffered = this.buffered ?? [];
    this.buffered = undefined;
    buffered.forEach(value => this.push(value));
  }
}
