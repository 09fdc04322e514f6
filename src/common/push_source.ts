/**
 * A stream that is fed by hand and delivers at once.
 *
 * `most.fromEvent` delivers on a later turn of the loop, which loses the order
 * against other work; this source calls its sinks within `push`.
 */
import {Disposable, Scheduler, Sink, Stream} from 'most';

interface Subscription<T> {
  readonly sink: Sink<T>;
  readonly scheduler: Scheduler;
}

/** How a source behaves before anybody listens. */
interface PushSourceOptions {
  /** Keeps values for the first subscriber; otherwise they are dropped. */
  readonly buffersUntilObserved?: boolean;
}

/** Feeds values into a `most` stream synchronously. */
export class PushSource<T> {
  /** The values pushed after a subscriber arrived. */
  readonly stream: Stream<T>;
  private readonly subscriptions = new Set<Subscription<T>>();
  private kept: T[] | undefined;
  private isEnded = false;

  private constructor({
    buffersUntilObserved: keepsUntilObserved = false,
  }: PushSourceOptions) {
    this.kept = keepsUntilObserved ? [] : undefined;
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

  /** Delivers one value to every subscriber before it returns. */
  push(value: T): void {
    if (this.kept) {
      this.kept.push(value);
      return;
    }
    for (const {sink, scheduler} of this.subscriptions) {
      sink.event(scheduler.now(), value);
    }
  }

  /** Ends the stream. Values pushed later are dropped. */
  end(): void {
    this.isEnded = true;
    const ended = [...this.subscriptions];
    this.subscriptions.clear();
    for (const {sink, scheduler} of ended) {
      sink.end(scheduler.now());
    }
  }

  private subscribe(sink: Sink<T>, scheduler: Scheduler): Disposable<T> {
    const subscription = {sink, scheduler};
    this.subscriptions.add(subscription);
    this.releaseKept();
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

  private releaseKept(): void {
    const kept = this.kept ?? [];
    this.kept = undefined;
    kept.forEach(value => this.push(value));
  }
}
