/** Guards against a response header that Node.js refuses to send, which would throw while the response is passed on. */
import * as http from 'node:http';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {platformHttpDialect} from '../../platform/platform_http_dialect';
import {findRejectionCause} from '../../src/gateway/responses/find_rejection_cause';

const SEED = 20_261_208;

function read(headers: Record<string, string | string[]>, status = 200) {
  const head = platformHttpDialect.readResponseHead(status, {
    'x-whinreel-request-id': 'q',
    'x-whinreel-response-seal': 's',
    ...headers,
  });
  return {head, cause: findRejectionCause(head, 'q')};
}

function checkSendable(headers: Readonly<Record<string, string>>): void {
  for (const [name, value] of Object.entries(headers)) {
    http.validateHeaderName(name);
    http.validateHeaderValue(name, value);
  }
}

describe('a response', () => {
  test.each<Record<string, string | string[]>>([
    {'x-note': 'a☃'},
    {'x-note': 'a\nb'},
    {'x-note': 'a\x7fb'},
    {'x-note': ['a', '\0']},
    {'x note': 'a'},
    {'x-nöte': 'a'},
  ])('with the headers %j is not passed on', headers => {
    expect(read(headers).cause).toBe('invalid-header');
  });

  test.each([{'x-note': 'caf\xe9'}, {'x-note': 'a\tb'}, {'x-note': ''}])(
    'with the headers %j is passed on unchanged',
    headers => {
      const {head, cause} = read(headers);
      expect(cause).toBeUndefined();
      expect(head.headers).toMatchObject(headers);
    },
  );

  // What it says of the request is true without them.
  test('which states that it did not run the request counts, whatever its other headers are', () => {
    const marked = {'x-whinreel-not-executed': '1', 'x-note': '☃'};
    expect(read(marked, 503).cause).toBeUndefined();
  });

  test('with drawn headers is rejected or can be sent', () => {
    const value = fc.string({unit: 'binary', maxLength: 8});
    const headers = fc.dictionary(
      fc.string({unit: 'binary-ascii', minLength: 1, maxLength: 4}),
      fc.oneof(value, fc.array(value, {maxLength: 2})),
      {maxKeys: 3},
    );
    fc.assert(
      fc.property(
        headers,
        fc.integer({min: 200, max: 599}),
        (drawn, status) => {
          const {head, cause} = read(drawn, status);
          if (
            cause === undefined &&
            !head.isNotRun &&
            !head.isWrongIncarnation
          ) {
            expect(() => checkSendable(head.headers)).not.toThrow();
          }
        },
      ),
      {numRuns: 5_000, seed: SEED},
    );
  });
});
