import * as fc from 'fast-check';
import {oddValues} from './odd_values';

const MAX_CHANGES = 2;
const ADDRESS_FIELD = /address|seeds|front|ready|control/;

type Path = readonly string[];

/** Removes the field. */
const MISSING = Symbol('missing');

interface Change {
  readonly path: Path;
  readonly value: unknown;
}

/**
 * Draws copies of a sound value in which one or two fields are odd or missing.
 *
 * @param canChange says which fields may differ, by the names that lead to them
 * @example
 * createVariation({slots: 8, zone: 'z'}); // {slots: -1, zone: 'z'}, {slots: 8}, …
 */
export function createVariation<T extends object>(
  base: T,
  canChange: (path: Path) => boolean = () => true,
): fc.Arbitrary<T> {
  const paths = listPaths(base).filter(canChange);
  const change: fc.Arbitrary<Change> = fc
    .constantFrom(...paths)
    .chain(path => chooseValue(path).map(value => ({path, value})));
  return fc
    .array(change, {minLength: 1, maxLength: MAX_CHANGES})
    .map(changes => changes.reduce(applyChange, base));
}

function chooseValue(path: Path): fc.Arbitrary<unknown> {
  const isAddress = path.some(name => ADDRESS_FIELD.test(name));
  return fc.oneof(
    {weight: 4, arbitrary: oddValues.number},
    {weight: 4, arbitrary: oddValues.text},
    {weight: 3, arbitrary: oddValues.other},
    {weight: 2, arbitrary: fc.constant(MISSING)},
    {weight: isAddress ? 26 : 1, arbitrary: oddValues.address},
  );
}

function listPaths(value: unknown): Path[] {
  if (typeof value !== 'object' || value === null) {
    return [];
  }
  return Object.entries(value).flatMap(([name, field]) => [
    [name],
    ...listPaths(field).map(path => [name, ...path]),
  ]);
}

/** A second change below a field that the first one replaced changes nothing. */
function applyChange<T>(base: T, {path, value}: Change): T {
  const copy = structuredClone(base);
  const last = path[path.length - 1];
  let parent: unknown = copy;
  for (const name of path.slice(0, -1)) {
    parent = (parent as Record<string, unknown> | null)?.[name];
  }
  if (typeof parent !== 'object' || parent === null) {
    return copy;
  }
  if (value !== MISSING) {
    (parent as Record<string, unknown>)[last] = value;
  } else if (Array.isArray(parent)) {
    parent.splice(Number(last), 1);
  } else {
    delete (parent as Record<string, unknown>)[last];
  }
  return copy;
}
