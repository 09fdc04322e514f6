/** Guards against a response that is taken for one with a length or chunks, or the reverse. */
import {expect, test} from 'vitest';
import {isDelimitedByConnection} from '../../src/transport/is_delimited_by_connection';

test.each([
  ['neither a length nor chunks', 'GET', 200, {}, true],
  ['neither, and a failure', 'POST', 500, {'content-type': 'text/plain'}, true],
  ['a length', 'GET', 200, {'content-length': '0'}, false],
  ['chunks', 'GET', 200, {'transfer-encoding': 'chunked'}, false],
  ['no body by its method', 'HEAD', 200, {}, false],
  ['no content', 'GET', 204, {}, false],
  ['no change', 'GET', 304, {}, false],
])(
  'a response with %s is told apart',
  (_what, method, status, headers, isDelimited) => {
    expect(isDelimitedByConnection(method, status, headers)).toBe(isDelimited);
  },
);
