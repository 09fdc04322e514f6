/**
 * Guards against a caller that makes its own request run without an id: a backend server
 * then answers without one, and the answer of a request that ran is rejected as that of
 * another. The id stays as the caller sent it, whatever else it calls hop-by-hop.
 */
import {IncomingMessage} from 'node:http';
import {expect, test} from 'vitest';
import {platformHttpDialect} from '../../platform/platform_http_dialect';

test('the request id is passed on although the connection header names it', () => {
  const headers = {
    host: 'h',
    connection: 'close, x-whinreel-request-id',
    'x-whinreel-request-id': 'q1',
  };
  const message = {
    method: 'GET',
    url: '/',
    headers,
    rawHeaders: Object.entries(headers).flat(),
  } as unknown as IncomingMessage;
  const request = platformHttpDialect.readRequest(message);

  expect(typeof request === 'object' && request.forwardedHeaders).toEqual(
    expect.arrayContaining(['x-whinreel-request-id', 'q1']),
  );
});
