/** Finds in the logs of all processes what decided the outcome of one request. */

/** What happened to a backend server this long before the request ended may explain it. */
const LOOK_BACK_MS = 15_000;

/** One line that matters, in the order of time. */
interface ExplainedLine {
  readonly time: string;
  readonly program: string;
  readonly event: string;
  readonly id: string;
  readonly reason: string;
}

type LogLine = ExplainedLine & Readonly<Record<string, unknown>>;

/**
 * Picks the request's own lines, those about the backend servers that it was
 * sent to or that its reason names, those about their groups and, for a request that was sent nowhere,
 * those about groups of its model and about control.
 *
 * @param text lines of any number of processes; what stands before the `{` of a
 *     line, such as a machine's name, is left out
 * @example
 * const lines = explainRequest(readFileSync('entry.log', 'utf8'), '9c41d07be2a35f68');
 */
export function explainRequest(text: string, id: string): ExplainedLine[] {
  const lines = text.split('\n').flatMap(parseLine);
  const own = lines.filter(line => line.id === id);
  const last = own[own.length - 1];
  if (!last) {
    return [];
  }
  const targets = splitNames(own.map(line => line.targets));
  const groups = findGroups(lines, targets);
  const model = String(last.model ?? '');
  const endedAt = Date.parse(last.time);
  const isRelated = (line: LogLine) =>
    targets.has(line.id) ||
    groups.has(line.id) ||
    (line.subject === 'host' && last.reason.includes(line.id)) ||
    (targets.size === 0 && isAboutPlaces(line, model));
  const isNear = (line: LogLine) => {
    const before = endedAt - Date.parse(line.time);
    return before >= 0 && before <= LOOK_BACK_MS;
  };
  return lines
    .filter(line => line.id === id || (isRelated(line) && isNear(line)))
    .map(({time, program, event, id: subject, reason}) => {
      return {time, program, event, id: subject, reason};
    })
    .sort((left, right) => Date.parse(left.time) - Date.parse(right.time));
}

/** Lines that are no events, such as a start's, are passed over. */
function parseLine(line: string): LogLine[] {
  const at = line.indexOf('{');
  if (at < 0) {
    return [];
  }
  try {
    const value = JSON.parse(line.slice(at)) as LogLine;
    return typeof value.event === 'string' ? [value] : [];
  } catch {
    // A log that was cut off ends within a line.
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

/** Names of the groups that these backend servers were members of. */
function findGroups(
  lines: readonly LogLine[],
  targets: ReadonlySet<string>,
): Set<string> {
  const sets = lines.filter(line => line.event === 'set-engine-group');
  return new Set(
    sets
      .filter(line =>
        [...splitNames([line.members])].some(name => targets.has(name)),
      )
      .map(line => line.id),
  );
}

/** Why nobody could take it: groups of its model, or the way to control. */
function isAboutPlaces(line: LogLine, model: string): boolean {
  const isGroup = line.event.endsWith('-engine-group');
  return (
    (isGroup && model !== '' && line.id.startsWith(model)) ||
    line.event.startsWith('control-') ||
    line.event.startsWith('became-')
  );
}
