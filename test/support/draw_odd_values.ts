/** Draws JSON texts that a sender may put in place of a value, and bodies with one or two of them. */
import fc from 'fast-check';

/** Numbers at and beyond the ends of what JSON and JavaScript hold. */
const NUMBER_TEXTS = [
  '1e309',
  '-1e309',
  '1e308',
  '5e-324',
  '1e-7',
  '-0',
  '0',
  '-1',
  '0.5',
  '2147483647',
  '2147483648',
  '1999999999',
  '1e12',
  '1e15',
  '9007199254740991',
  '9007199254740993',
  '1e21',
];
const STRINGS = [
  '',
  ' ',
  'a b',
  ' a',
  'é',
  '☃',
  'a\nb',
  'a\0b',
  '\ud800',
  '__proto__',
];

const drawString = fc.oneof(
  fc.constantFrom(...STRINGS),
  fc.string({unit: 'binary', maxLength: 12}),
  fc.string({unit: 'grapheme-ascii', maxLength: 40}),
  fc.integer({min: 1, max: 400}).map(length => 'x'.repeat(length)),
);

/** A JSON text of any kind. */
const drawText: fc.Arbitrary<string> = fc.oneof(
  {weight: 4, arbitrary: fc.constantFrom(...NUMBER_TEXTS)},
  fc.double({noNaN: true, noDefaultInfinity: true}).map(String),
  drawString.map(text => JSON.stringify(text)),
  fc.constantFrom('null', 'true', 'false', '[]', '{}', '[[]]'),
  fc.json({maxDepth: 2}),
);

/** Lists the paths of all values in a document. */
function listPaths(value: unknown, path: readonly string[] = []): string[][] {
  if (typeof value !== 'object' || value === null) {
    return [[...path]];
  }
  const inner = Object.entries(value).flatMap(([key, each]) =>
    listPaths(each, [...path, key]),
  );
  return path.length === 0 ? inner : [[...path], ...inner];
}

function createMark(index: number): string {
  return `@odd-${index}@`;
}

/** Puts a mark in place of a value; an earlier change may have removed what holds it. */
function mark(document: object, path: readonly string[], index: number): void {
  let parent = document as Record<string, unknown>;
  for (const key of path.slice(0, -1)) {
    const next = parent[key];
    if (typeof next !== 'object' || next === null) {
      return;
    }
    parent = next as Record<string, unknown>;
  }
  parent[path[path.length - 1]] = createMark(index);
}

/**
 * Draws JSON texts of a document in which one or two values are replaced, or added under
 * these paths.
 *
 * @example
 * fc.property(drawOddBodies(example, [['born']]), text => decode(text));
 */
export function drawOddBodies(
  example: object,
  added: ReadonlyArray<readonly string[]> = [],
): fc.Arbitrary<string> {
  const paths = [...listPaths(example), ...added];
  const change = fc.tuple(fc.constantFrom(...paths), drawText);
  return fc.array(change, {minLength: 1, maxLength: 2}).map(changes => {
    const document = structuredClone(example);
    changes.forEach(([path], index) => mark(document, path, index));
    return changes.reduce(
      (text, [, odd], index) =>
        text.replace(`"${createMark(index)}"`, () => odd),
      JSON.stringify(document),
    );
  });
}
