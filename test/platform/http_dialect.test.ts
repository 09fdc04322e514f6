/** Checks the translation of the headers of the platform's requests and responses. */
import {IncomingMessage} from 'node:http';
import {describe, expect, test} from 'vitest';
import {platformHttpDialect} from '../../platform/platform_http_dialect';

describe('headers', () => {
  function read(headers: Record<string, string>) {
    const rawHeaders = Object.entries(headers).flat();
    const message = {headers, rawHeaders, method: 'POST', url: '/a/b?c'};
    return platformHttpDialect.readRequest(
      message as unknown as IncomingMessage,
    );
  }

  const sent = {
    host: 'H.example:80',
    'x-whinreel-request-id': 'q',
    'x-whinreel-request-deadline-ms': '900',
    'x-whinreel-tenant': 'forged',
    'x-whinreel-token-usage': '1460,80',
    'x-whinreel-prompt-prefix': '5c1e07a2:800,91bd3f06:410, e4402b7d:250',
    authorization: 'Bearer secret',
    connection: 'keep-alive, x-hop',
    'x-hop': '1',
    'x-other': '2',
  };

  test('of a request are decoded', () => {
    expect(read(sent)).toMatchObject({
      id: 'q',
      host: 'h.example',
      key: 'secret',
      waitMs: 900,
      promptTokens: 1460,
      promptParts: ['5c1e07a2', '91bd3f06'],
    });
    expect(read({host: 'h'})).toMatch('is missing');
  });

  test.each([
    ['[::1]:80', '[::1]'],
    ['[::1]', '[::1]'],
    ['h.example:', 'h.example'],
  ])('of the host %s name the host %s', (host, name) => {
    expect(read({...sent, host})).toMatchObject({host: name});
  });

  // Guards against an id that its server does not get, so that the caller gets no answer.
  test('of the request itself are forwarded although its connection header lists them', () => {
    const connection = 'close, X-Whinreel-Request-Id, x-hop';
    const request = read({...sent, connection});

    expect(request).toMatchObject({
      forwardedHeaders: expect.arrayContaining([
        'x-whinreel-request-id',
      ]) as unknown,
    });
    expect(request).not.toMatchObject({
      forwardedHeaders: expect.arrayContaining(['x-hop']) as unknown,
    });
  });

  test('are forwarded without the API key and with those that the gateway sets', () => {
    const request = read(sent);
    if (typeof request === 'string') {
      throw new Error(request);
    }
    const dispatch = {incarnation: 'i', workspace: 'w', remainingMs: 800};
    const headers = platformHttpDialect.createHeaders(request, dispatch);
    const map = new Map<string, string>();
    for (let at = 0; at < headers.length; at += 2) {
      expect(map.has(headers[at])).toBe(false);
      map.set(headers[at], headers[at + 1]);
    }

    expect(headers.join(' ')).not.toContain('secret');
    expect(map.get('x-whinreel-tenant')).toBe('w');
    expect(map.get('x-whinreel-request-deadline-ms')).toBe('800');
    expect(map.get('x-whinreel-expect-instance')).toBe('i');
    expect(map.get('x-other')).toBe('2');
    expect(map.has('x-hop')).toBe(false);
  });

  // Guards against a caller that raises its own priority, and against an urgency where the rules know none.
  test.each([
    [undefined, []],
    [0, ['0']],
    [4, ['4']],
    [12, ['9']],
  ])(
    'have the priority for urgency %s only from the gateway',
    (urgency, values) => {
      const request = read({...sent, 'X-Whinreel-Request-Priority': '0'});
      if (typeof request === 'string') {
        throw new Error(request);
      }
      const dispatch = {incarnation: 'i', urgency};
      const headers = platformHttpDialect.createHeaders(request, dispatch);
      const found = headers.filter(
        (_, at) =>
          headers[at - 1]?.toLowerCase() === 'x-whinreel-request-priority',
      );

      expect(found).toEqual(values);
    },
  );

  test('of a response tell whether the request has run and may be retried', () => {
    const head = platformHttpDialect.readResponseHead(503, {
      'x-whinreel-not-executed': '1',
      'x-whinreel-request-id': 'q',
      'content-length': '0',
    });
    expect(head).toMatchObject({
      requestId: 'q',
      isNotRun: true,
      isSealed: false,
    });
    expect(
      platformHttpDialect.readResponseHead(421, {}).isWrongIncarnation,
    ).toBe(true);
  });

  test.each([
    ['3.7', 3.7],
    ['12', 12],
    ['0', 0],
    ['-1', undefined],
    ['1e3', undefined],
    ['3,7', undefined],
    ['soon', undefined],
    ['9999999999999', undefined],
  ])(
    'of a response with a server limit of %s are decoded',
    (text, perSecond) => {
      const head = platformHttpDialect.readResponseHead(200, {
        'server-limit': text,
      });
      expect(head.limitPerSecond).toBe(perSecond);
      const isUnread = perSecond === undefined;
      expect(head.unread).toBe(isUnread ? `server-limit: ${text}` : undefined);
    },
  );

  // Guards against a malformed value read as a state of the server.
  test.each([
    ['0', 0],
    ['8200', 8_200],
    ['8200.5', 8_200.5],
    ['-1', undefined],
    ['soon', undefined],
  ])(
    'of a response with %s ms of being cold are decoded',
    (text, coldForMs) => {
      const head = platformHttpDialect.readResponseHead(200, {
        'x-whinreel-cold-ms': text,
      });
      expect(head.coldForMs).toBe(coldForMs);
      const isUnread = coldForMs === undefined;
      expect(head.unread).toBe(
        isUnread ? `x-whinreel-cold-ms: ${text}` : undefined,
      );
    },
  );

  test.each([
    [503, '3', 3_000],
    [503, '0.25', 250],
    [503, 'Fri, 04 Dec 2026 00:00:00 GMT', undefined],
    [503, '-3', undefined],
    [429, '3', undefined],
    [200, '3', undefined],
  ])(
    'of a response with status %d and retry-after %s are decoded',
    (status, text, restMs) => {
      const head = platformHttpDialect.readResponseHead(status, {
        'retry-after': text,
      });
      expect(head.restMs).toBe(restMs);
    },
  );

  test.each([
    ['1', true],
    ['0', false],
    ['yes', false],
  ])('of a response with server-leaving %s are decoded', (text, isLeaving) => {
    const head = platformHttpDialect.readResponseHead(200, {
      'server-leaving': text,
    });
    expect(head.isLeaving).toBe(isLeaving);
  });
});
