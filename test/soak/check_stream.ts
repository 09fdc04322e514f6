import {soakRoutes} from './soak_routes';
import {StreamCall} from './stream_call';
import {streamEvents} from './stream_events';

const OK = 200;
const SEPARATOR = '\n\n';

type StreamEvent = NonNullable<ReturnType<typeof streamEvents.parse>>;

/** What is wrong with an answer. */
interface StreamFault {
  readonly kind:
    | 'ends as complete before its last event'
    | 'misses an event'
    | 'repeats an event'
    | 'joins two runs'
    | 'holds what is no event of it';
  readonly detail: string;
}

/** What the events of an answer show. */
interface CheckedStream {
  readonly faults: StreamFault[];
  /** Number of the last event in order. */
  readonly last: number;
  readonly lastRun?: StreamEvent['run'];
  /** Runs that the answer holds events of. */
  readonly runs: number;
}

/**
 * Checks an answer by the number, the run and the request of each event. It may
 * break off anywhere, but is complete only with its last event; where its route
 * may be resumed, a run that begins with the next event may follow another.
 *
 * @example
 * const {faults, last} = checkStream(call);
 */
export function checkStream(call: StreamCall): CheckedStream {
  const {key, after, reply} = call;
  if (reply.status !== OK) {
    return {faults: [], last: after, runs: 0};
  }
  const texts = reply.body.split(SEPARATOR);
  const rest = texts.pop() ?? '';
  const faults: StreamFault[] = [];
  let last = after;
  let runs = 0;
  let lastRun: StreamEvent['run'] | undefined;
  for (const text of texts) {
    const event = streamEvents.parse(text);
    if (!event || !belongsTo(event, call)) {
      faults.push({kind: 'holds what is no event of it', detail: text});
      break;
    }
    faults.push(...checkNumber(event, last), ...checkRun(event, lastRun, call));
    runs += event.run.name === lastRun?.name ? 0 : 1;
    last = event.number;
    lastRun = event.run;
  }
  const next = `id: ${last + 1}\n`;
  if (faults.length === 0 && !next.startsWith(rest.slice(0, next.length))) {
    faults.push({kind: 'holds what is no event of it', detail: rest});
  }
  const total = streamEvents.countEvents(key);
  if (reply.isWhole && (last < total || rest !== '')) {
    faults.push({
      kind: 'ends as complete before its last event',
      detail: `event ${last} of ${total} and ${rest.length} characters of the next${lastRun ? `, run ${lastRun.name}, ${lastRun.framing}` : ''}`,
    });
  }
  return {faults, last, lastRun, runs};
}

function belongsTo(event: StreamEvent, {key, requestId}: StreamCall): boolean {
  return (
    event.key === key &&
    event.requestId === requestId &&
    event.total === streamEvents.countEvents(key)
  );
}

function checkNumber({number}: StreamEvent, last: number): StreamFault[] {
  if (number === last + 1) {
    return [];
  }
  const kind = number > last ? 'misses an event' : 'repeats an event';
  return [{kind, detail: `event ${number} after ${last}`}];
}

/** A first run goes on where the caller asked; a later one needs a route that may be resumed. */
function checkRun(
  {number, run}: StreamEvent,
  lastRun: StreamEvent['run'] | undefined,
  {route}: StreamCall,
): StreamFault[] {
  if (run.name === lastRun?.name) {
    return [];
  }
  const mayFollow = lastRun === undefined || soakRoutes[route].resumable;
  return mayFollow && run.from === number
    ? []
    : [
        {
          kind: 'joins two runs',
          detail: `event ${number} of the run from ${run.from} after ${lastRun?.name}`,
        },
      ];
}
