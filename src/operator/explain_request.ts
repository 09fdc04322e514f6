/** Finds the log lines that explain the outcome of one request, across all processes. */

/** Events up to this long before the request ended may explain its outcome. */
const LOOKBACK_MS = 15_000;
/** Events about a response, which name its backend server as the target. */
const RESPONSE_EVENTS: ReadonlySet<string> = new Set([
  'response-rejected',
  'response-ended-by-connection',
]);

/** A log line, reduced to the fields that are shown. */
interface LogLineSummary {
  readonly time: string;
  readonly program: string;
  readonly event: string;
  readonly id: string;
  readonly reason: string;
}

type LogLine = LogLineSummary & Readonly<Record<string, unknown>>;

/**
 * Selects, in order of time, the request's own lines, those about the backend
 * servers that it was sent to or that its reason names, and those about their
 * groups. For a request that was sent to no backend server, lines about the
 * groups of its model and about control are selected too. Orders for a zone that its
 * reason names as evacuated are selected whatever their age. For a request that was
 * denied a retry, the decisions about the budget of its pool are selected. Lines
 * about responses that were not taken as an answer, or that ended with their
 * connection, count as lines about the backend server that sent them.
 *
 * @param text log lines of any number of processes; a prefix before the `{` of a
 *     line, such as a host name, is ignored
 * @example
 * const lines = explainRequest(readFileSync('entry.log', 'utf8'), '9c41d07be2a35f68');
 */
export function explainRequest(text: string, id: string): LogLineSummary[] {
  const lines = text.split('\n').flatMap(parseLine);
  const ownLines = lines.filter(line => line.id === id);
  const last = ownLines[ownLines.length - 1];
  if (!last) {
    return [];
  }
  const targets = splitNames(ownLines.map(line => line.targets));
  const groups = findGroupNames(lines, targets);
  const model = String(last.model ?? '');
  const endedAt = Date.parse(last.time);
  const isRelated = (line: LogLine) =>
    targets.has(line.id) ||
    (RESPONSE_EVENTS.has(line.event) && targets.has(String(line.target))) ||
    groups.has(line.id) ||
    (line.subject === 'host' && last.reason.includes(line.id)) ||
    (line.subject === 'pool' && last.reason.includes(`pool ${line.id} `)) ||
    (targets.size === 0 && isAboutAvailability(line, model));
  const isRecent = (line: LogLine) => {
    const ageMs = endedAt - Date.parse(line.time);
    return ageMs >= 0 && ageMs <= LOOKBACK_MS;
  };
  const isOrder = (line: LogLine) =>
    line.subject === 'zone' &&
    last.reason.includes('evacuated: ') &&
    last.reason.includes(line.id) &&
    Date.parse(line.time) <= endedAt;
  return lines
    .filter(
      line =>
        line.id === id || isOrder(line) || (isRelated(line) && isRecent(line)),
    )
    .map(line => {
      const {time, program, event, id: subject} = line;
      return {time, program, event, id: subject, reason: formatReason(line)};
    })
    .sort((left, right) => Date.parse(left.time) - Date.parse(right.time));
}

/** Appends what was received in place of an answer. */
function formatReason({reason, received}: LogLine): string {
  return typeof received === 'string' ? `${reason} (${received})` : reason;
}

/** Skips lines that are not events, such as the line that a daemon prints when it is ready. */
function parseLine(line: string): LogLine[] {
  const jsonStart = line.indexOf('{');
  if (jsonStart < 0) {
    return [];
  }
  try {
    const value = JSON.parse(line.slice(jsonStart)) as LogLine;
    return typeof value.event === 'string' ? [value] : [];
  } catch {
    // A truncated log ends in the middle of a line.
    return [];
  }
}

function splitNames(values: readonly unknown[]): Set<string> {
  return new Set(
    values.flatMap(value =>
      typeof value === 'string' ? value.split(' ').filter(Boolean) : [],
    ),
  );
}

/** Finds the names of all groups that one of these backend servers was a member of. */
function findGroupNames(
  lines: readonly LogLine[],
  targets: ReadonlySet<string>,
): Set<string> {
  const formations = lines.filter(line => line.event === 'set-engine-group');
  return new Set(
    formations
      .filter(line =>
        [...splitNames([line.members])].some(name => targets.has(name)),
      )
      .map(line => line.id),
  );
}

/**
 * Tells whether a line may explain that no backend server was available: it is
 * about a group of the model, about the connection to control, or about a role
 * change of a control process.
 */
function isAboutAvailability(line: LogLine, model: string): boolean {
  const isGroup = line.event.endsWith('-engine-group');
  return (
    (isGroup && model !== '' && line.id.startsWith(model)) ||
    line.event.startsWith('control-') ||
    line.event.startsWith('became-')
  );
}
