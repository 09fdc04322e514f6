const NUMBER = /^-?\d{1,15}(?:\.\d{1,15})?$/;
/** An id is sent back in a header when its stream is resumed. */
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;
/** A header loses the blanks around its value, and an empty id is none. */
const CHANGED_IN_HEADER = /^$|^[\t ]|[\t ]$/;

/** Checks the ids of the events of one response, which may come from several backend servers. */
export class EventOrder {
  private lastId: string | undefined;
  /** All numbered events so far followed each other by one. */
  private isConsecutive: boolean | undefined;
  private isResumed = false;
  private isLastKnown = true;

  private constructor(lastId: string | undefined) {
    this.lastId = lastId;
  }

  /**
   * Creates the order of a response that continues after an event.
   *
   * @param lastId the last event that the caller has
   * @example
   * const order = EventOrder.create(request.lastEventId);
   * const isNext = order.accept('13');
   */
  static create(lastId: string | undefined): EventOrder {
    return new EventOrder(lastId);
  }

  /** The id of the last event that was accepted. */
  get last(): string | undefined {
    return this.lastId;
  }

  /** False after an event without an id that can be sent back: a new run could not go on behind it. */
  get canResume(): boolean {
    return this.isLastKnown;
  }

  /** Records that the next event comes from another attempt. */
  resume(): void {
    this.isResumed = true;
  }

  /**
   * Accepts the id of the next event. Numbers must rise; where they have risen by
   * one, the first event of a resumed stream must not leave one out.
   *
   * @param hasData false if the caller can do without the event
   * @returns false if the event is not the next one
   */
  accept(id: string | undefined, hasData = true): boolean {
    if (id === undefined) {
      this.isLastKnown &&= !hasData;
      return true;
    }
    if (!HEADER_VALUE.test(id)) {
      return false;
    }
    if (CHANGED_IN_HEADER.test(id)) {
      this.isLastKnown = false;
      return true;
    }
    if (!this.isNext(id)) {
      return false;
    }
    this.lastId = id;
    this.isLastKnown = true;
    this.isResumed = false;
    return true;
  }

  private isNext(id: string): boolean {
    const {lastId = ''} = this;
    if (!NUMBER.test(id) || !NUMBER.test(lastId)) {
      return true;
    }
    const step = Number(id) - Number(lastId);
    if (step <= 0 || (this.isResumed && this.isConsecutive && step > 1)) {
      return false;
    }
    this.isConsecutive = (this.isConsecutive ?? true) && step === 1;
    return true;
  }
}
