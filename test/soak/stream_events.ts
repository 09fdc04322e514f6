/** What an event says of itself. */
interface StreamEvent {
  /** Of the stream that callers want, over all requests for it. */
  readonly key: string;
  /** Of the request that it answers. */
  readonly requestId: string;
  /** Counts from 1. */
  readonly number: number;
  readonly total: number;
  readonly run: StreamRun;
}

/** One run of a request at a backend server. */
interface StreamRun {
  /** Differs between any two runs. */
  readonly name: string;
  /** Number of its first event. */
  readonly from: number;
  readonly framing: string;
}

const LEAST_EVENTS = 4;
const SPREAD_EVENTS = 13;
const EVENT =
  /^id: (\d+)\ndata: (\S+) (\S+) (\d+)\/(\d+) run (\S+) from (\d+) (\S+)$/;

/** Events that tell where they belong, so that callers can check each by itself. */
export const streamEvents = {
  /** The same for every request of a key. */
  countEvents(key: string): number {
    return LEAST_EVENTS + (Number(key.slice(1)) % SPREAD_EVENTS);
  },

  format(event: StreamEvent): string {
    const {key, requestId, number, total, run} = event;
    const {name, from, framing} = run;
    return `id: ${number}\ndata: ${key} ${requestId} ${number}/${total} run ${name} from ${from} ${framing}\n\n`;
  },

  /** Undefined for text that is no event, or one whose id is not its number. */
  parse(text: string): StreamEvent | undefined {
    const [, id, key, requestId, number, total, name, from, framing] =
      EVENT.exec(text) ?? [];
    if (id === undefined || id !== number) {
      return undefined;
    }
    return {
      key,
      requestId,
      number: Number(number),
      total: Number(total),
      run: {name, from: Number(from), framing},
    };
  },
};
