/** What a caller may rely on, checked for one request at the end of a run. */
import {SoakFaults} from './soak_faults';
import {SoakRequest} from './soak_request';
import {soakRoutes} from './soak_routes';
import {soakStream} from './soak_stream';
import {SoakWork} from './soak_work';

const REFUSALS = new Set([408, 421, 429, 503]);
const OK = 200;
const REQUEST_IDS = /\bq\d+\b/g;
/** Of a body that is wrong, in a sentence. */
const SHOWN_CHARACTERS = 200;

/**
 * Lists broken promises, each in a sentence.
 *
 * @param work what backend servers did, undefined for nothing
 */
export function checkRequest(
  request: SoakRequest,
  work: SoakWork | undefined,
  faults: SoakFaults,
): string[] {
  const {status} = request.reply;
  const runs = work?.runs ?? 0;
  const {max_attempts: mostRuns} = soakRoutes[request.route];
  const found: string[] = [];
  if (REFUSALS.has(status) && runs > 0) {
    found.push(`was refused with ${status} and has run`);
  }
  if (runs > mostRuns) {
    found.push(`ran ${runs} times`);
  }
  found.push(...checkIds(request));
  if (status === OK) {
    found.push(...checkBody(request));
  }
  if (work && !isExcused(request, work, faults)) {
    found.push('had begun and ended without a whole answer');
  }
  return found.map(what => `${describeRequest(request)} ${what}`);
}

/** Nothing of another request is in an answer, whatever its status. */
function checkIds({id, reply}: SoakRequest): string[] {
  const inBody = reply.body.match(REQUEST_IDS) ?? [];
  const named = [reply.answeredId ?? id, ...inBody];
  const other = named.find(one => one !== id);
  return other === undefined ? [] : [`got an answer to ${other}`];
}

/** A stream may end early, but never with a gap, twice the same, or as if it were whole. */
function checkBody({id, route, reply}: SoakRequest): string[] {
  const {body, isWhole} = reply;
  const whole = createBody(id, route);
  const isRight = isWhole ? body === whole : whole.startsWith(body);
  const kind = isWhole ? 'as its whole answer' : 'before its answer broke off';
  return isRight
    ? []
    : [
        `got ${JSON.stringify(body.slice(0, SHOWN_CHARACTERS))} of ${body.length} characters ${kind}`,
      ];
}

function createBody(id: string, route: string): string {
  if (soakRoutes[route].route_type !== 'stream') {
    return `ran ${id}`;
  }
  const count = soakStream.countEvents(id);
  return Array.from({length: count}, (_, at) =>
    soakStream.formatEvent(id, at + 1),
  ).join('');
}

/**
 * A request that a backend server began gets a whole answer, be it only that it
 * failed, unless its entry was killed or frozen. What has begun to arrive may also
 * break off with its backend server, for a disturbed link, or as its time is over.
 */
function isExcused(
  {route, entry, reply}: SoakRequest,
  work: SoakWork,
  faults: SoakFaults,
): boolean {
  const {sentAt, endedAt, isWhole, wasGivenUp, bytes} = reply;
  if (isWhole || wasGivenUp || entry.wasHarmed(sentAt, endedAt)) {
    return true;
  }
  const isTimeOver = endedAt - sentAt >= soakRoutes[route].timeout_ms;
  const wasDisturbed =
    work.hasBroken || faults.wasLinkHarmed(work.at, sentAt, endedAt);
  return bytes > 0 && (isTimeOver || wasDisturbed);
}

function describeRequest({id, route, entry, reply}: SoakRequest): string {
  const {sentAt, endedAt, status, bytes, wasOnKept, error} = reply;
  const at = new Date(performance.timeOrigin + sentAt).toISOString();
  const tookMs = Math.round(endedAt - sentAt);
  const connection = wasOnKept ? 'kept' : 'new';
  return `${id} ${route} to ${entry.options.ip} at ${at} on a ${connection} connection (status ${status}, ${bytes} bytes, ${tookMs} ms, "${error}")`;
}
