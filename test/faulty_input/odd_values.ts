/** Values that stand in place of a sound one, and texts that are no address. */
import * as fc from 'fast-check';
import {listMalformedAddresses} from './malformed_addresses';

/** Stands in a drawn text for the port of a server that runs. */
const PORT = 54_321;
const DEEP = 200;

const numbers = [
  0,
  -1,
  0.5,
  -0.001,
  1e308,
  5e-324,
  2 ** 31,
  2 ** 31 - 1,
  2 ** 32,
  2 ** 53 - 1,
  2 ** 53 + 2,
  -(2 ** 63),
  '@raw:1e309@',
  '@raw:-1e309@',
  '@raw:NaN@',
];

const texts = [
  '',
  ' ',
  '\n',
  'a\nb',
  'a\r\nx-injected: 1',
  '\0',
  '\x7f',
  '☃',
  'é',
  '\ud800',
  '\u2028',
  'x'.repeat(200),
  'x'.repeat(201),
  'x'.repeat(10_000),
  '__proto__',
  'constructor',
  'toString',
  '../',
  '/',
  '%',
  '%zz',
  '%00',
  '"',
  "'",
  'a b',
  'a,b',
  'a:b',
  '@',
  'a@1',
  'NaN',
  '1e309',
  '-1',
  '9007199254740993',
  'null',
];

const others: unknown[] = [
  null,
  true,
  false,
  [],
  {},
  [[]],
  [null],
  {a: 1},
  ['a', 'a'],
  JSON.parse('{"__proto__": {"a": 1}}'),
  JSON.parse('['.repeat(DEEP) + ']'.repeat(DEEP)),
];

const addresses = [
  ...listMalformedAddresses(PORT),
  ':54321',
  '127.0.0.1:0',
  '127.0.0.1:054321',
  '127.0.0.1:+54321',
  '127.0.0.1:54321\n',
  '127.0.0.1:54321/',
  '127.0.0.1:54321#a',
  '127.0.0.1:54321?a',
  'u:p@127.0.0.1:54321',
  '127.0.0.256:54321',
  '0x7f.1:54321',
  '2130706433:54321',
  '[::1]:54321',
  '[::1',
  '[::ffff:127.0.0.1]:54321',
  'localhost:54321',
  'no.such.name.invalid:54321',
  '127.0.0.1:1',
  'a..b:54321',
  '%31:54321',
  '☃:54321',
].map(text => text.replaceAll(String(PORT), '{port}'));

/**
 * Arbitraries of odd values. A text `@raw:…@` stands in JSON without its quotes
 * (`formatOddJson`), and `{port}` for a port on which a server listens.
 */
export const oddValues = {
  number: fc.constantFrom<unknown>(...numbers),
  text: fc.oneof(
    {weight: 5, arbitrary: fc.constantFrom(...texts)},
    {weight: 1, arbitrary: fc.string({unit: 'binary', maxLength: 40})},
  ),
  other: fc.constantFrom<unknown>(...others),
  address: fc.oneof(
    {weight: 4, arbitrary: fc.constantFrom(...addresses)},
    {weight: 1, arbitrary: fc.string({maxLength: 20})},
  ),
};
