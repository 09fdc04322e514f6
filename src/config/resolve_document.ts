/** Reads a document of settings of which some may be wrong. */
import {inspect} from 'node:util';
import {z} from 'zod';

/** A line quotes no more of a value, which may be as long as its author likes. */
const MAX_QUOTED_LENGTH = 100;
const MAX_QUOTED_ENTRIES = 5;

type Path = readonly PropertyKey[];
type Container = Record<PropertyKey, unknown>;

/** A field that is wrong. */
interface DocumentFault {
  /** Its place, with a dot between the parts. */
  readonly path: string;
  /** What it holds and what is expected there. */
  readonly problem: string;
  /** What stands in for it; undefined where nothing does. */
  readonly used: unknown;
}

/** A document and what it should hold. */
interface DocumentOptions<T> {
  /** A field that is optional or has a default costs only itself when it is wrong. */
  readonly schema: z.ZodType<T>;
  readonly document: unknown;
  /** Lists of which wrong entries are left out. In any other list one wrong entry makes the whole list wrong. */
  readonly lists?: readonly string[];
  /** Fields whose absence is a fault, although the schema can do without them. */
  readonly expected?: readonly string[];
  /** A document whose values stand in for wrong ones, before the defaults of the schema do. */
  readonly replacements?: unknown;
}

/** What is sound of a document, and what is not. */
interface ResolvedDocument<T> {
  /** Undefined if a field is wrong or missing that nothing can stand in for. */
  readonly value: T | undefined;
  /** One for each wrong field. */
  readonly faults: readonly DocumentFault[];
}

/**
 * Validates a document, leaving out what is wrong in it instead of refusing the whole.
 *
 * @example
 * const schema = z.object({port: z.int().default(80), name: z.string()});
 * resolveDocument({schema, document: {port: 'x', name: 'a'}});
 * // {value: {port: 80, name: 'a'}, faults: [{path: 'port', used: 80, ...}]}
 */
export function resolveDocument<T>(
  options: DocumentOptions<T>,
): ResolvedDocument<T> {
  const {schema, document, replacements, expected = []} = options;
  const rest: unknown = structuredClone(document);
  const problems = new Map<string, string>();
  for (const name of expected) {
    const path = name.split('.');
    if (isAbsent(rest, path)) {
      problems.set(name, 'is missing');
      setValue(rest, path, getValue(replacements, path));
    }
  }
  for (;;) {
    const parsed = schema.safeParse(rest);
    if (parsed.success) {
      const faults = describeFaults(problems, parsed.data, options);
      return {value: parsed.data, faults};
    }
    if (!removeWrong(rest, parsed.error.issues, problems, options)) {
      return {
        value: undefined,
        faults: describeFaults(problems, undefined, options),
      };
    }
  }
}

/** Takes out, or replaces, the field of each issue; false if that changes nothing. */
function removeWrong(
  root: unknown,
  issues: ReadonlyArray<{path: PropertyKey[]; message: string}>,
  problems: Map<string, string>,
  {lists = [], replacements}: DocumentOptions<unknown>,
): boolean {
  const targets = new Map<string, {path: Path; message: string}>();
  for (const {path, message} of issues) {
    const target = findField(root, path, lists);
    targets.set(target.join('.'), {path: target, message});
  }
  let isChanged = false;
  // From the last to the first, so that the entries of a list keep their places until they are taken out.
  for (const [name, {path, message}] of [...targets].sort(compareLast)) {
    const wrong = getValue(root, path);
    const isKnown = problems.has(name);
    const stated =
      wrong === undefined
        ? 'is missing'
        : `is ${formatValue(wrong)}: ${message}`;
    problems.set(name, problems.get(name) ?? stated);
    const replacement = isKnown ? undefined : getValue(replacements, path);
    const isEntry = lists.includes(path.slice(0, -1).join('.'));
    if (replacement !== undefined && !isEntry) {
      setValue(root, path, replacement);
      isChanged = true;
    } else if (wrong !== undefined && path.length > 0) {
      removeValue(root, path);
      isChanged = true;
    }
  }
  return isChanged;
}

/** Returns the path of the list where the place of an issue is within a list that is wrong as a whole. */
function findField(root: unknown, path: Path, lists: readonly string[]): Path {
  let holder = root;
  for (const [depth, key] of path.entries()) {
    if (Array.isArray(holder)) {
      const list = path.slice(0, depth);
      return lists.includes(list.join('.')) ? path.slice(0, depth + 1) : list;
    }
    holder = (holder as Container)[key];
  }
  return path;
}

function compareLast(
  [, left]: [string, {path: Path}],
  [, right]: [string, {path: Path}],
): number {
  return Number(right.path.at(-1)) - Number(left.path.at(-1)) || 0;
}

function describeFaults(
  problems: ReadonlyMap<string, string>,
  value: unknown,
  {lists = []}: DocumentOptions<unknown>,
): DocumentFault[] {
  return [...problems].map(([path, problem]) => {
    const parts = path.split('.');
    const isEntry = lists.includes(parts.slice(0, -1).join('.'));
    return {path, problem, used: isEntry ? undefined : getValue(value, parts)};
  });
}

function isContainer(value: unknown): value is Container {
  return typeof value === 'object' && value !== null;
}

/** Whether there is no such field; false if what should hold it is no table, which is a fault of its own. */
function isAbsent(root: unknown, path: Path): boolean {
  let holder = root;
  for (const key of path) {
    if (!isContainer(holder) || Array.isArray(holder)) {
      return false;
    }
    if (!Object.hasOwn(holder, key)) {
      return true;
    }
    holder = holder[key];
  }
  return false;
}

function getValue(root: unknown, path: Path): unknown {
  let value = root;
  for (const key of path) {
    if (!isContainer(value) || !Object.hasOwn(value, key)) {
      return undefined;
    }
    value = value[key];
  }
  return value;
}

/** Creates the tables that should hold the field. */
function setValue(root: unknown, path: Path, value: unknown): void {
  if (value === undefined) {
    return;
  }
  let holder = root as Container;
  for (const key of path.slice(0, -1)) {
    holder = (holder[key] ??= {}) as Container;
  }
  holder[path[path.length - 1]] = structuredClone(value);
}

function removeValue(root: unknown, path: Path): void {
  const holder = getValue(root, path.slice(0, -1));
  const key = path[path.length - 1];
  if (Array.isArray(holder)) {
    holder.splice(Number(key), 1);
  } else if (key !== undefined) {
    delete (holder as Container)[key];
  }
}

function formatValue(value: unknown): string {
  if (typeof value === 'string') {
    return JSON.stringify(value.slice(0, MAX_QUOTED_LENGTH));
  }
  const text = inspect(value, {
    depth: 1,
    breakLength: Infinity,
    compact: true,
    maxStringLength: MAX_QUOTED_LENGTH,
    maxArrayLength: MAX_QUOTED_ENTRIES,
  });
  return text.replace(/\s+/g, ' ').slice(0, MAX_QUOTED_LENGTH);
}
