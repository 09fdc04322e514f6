/** One difference between two bundles; a missing value is shown as `-`. */
interface BundleChange {
  readonly path: string;
  readonly before: string;
  readonly after: string;
}

/**
 * Lists the differences between two values, by path. Arrays whose items all have
 * a `name` are compared by name, so that an insertion shows as one change.
 *
 * @example
 * compareBundles({version: 1}, {version: 2}); // [{path: 'version', before: '1', after: '2'}]
 */
export function compareBundles(
  before: unknown,
  after: unknown,
  path = '',
): BundleChange[] {
  if (isRecord(before) && isRecord(after)) {
    const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...keys].flatMap(key =>
      compareBundles(
        before[key],
        after[key],
        path === '' ? key : `${path}.${key}`,
      ),
    );
  }
  if (isNamedList(before) && isNamedList(after)) {
    return compareBundles(indexByName(before), indexByName(after), path);
  }
  const [beforeText, afterText] = [describeValue(before), describeValue(after)];
  return beforeText === afterText
    ? []
    : [{path, before: beforeText, after: afterText}];
}

type NamedItem = Record<string, unknown> & {name: string};

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isNamedList(value: unknown): value is NamedItem[] {
  return (
    Array.isArray(value) &&
    value.every(item => isRecord(item) && typeof item['name'] === 'string')
  );
}

function indexByName(list: readonly NamedItem[]): Record<string, unknown> {
  return Object.fromEntries(list.map(item => [item.name, item]));
}

function describeValue(value: unknown): string {
  return value === undefined ? '-' : JSON.stringify(value);
}
