/** An HTTP dialect with generic header names, for tests of the gateway. */
import {HttpDialect} from '../../src/gateway/http_dialect';

export const plainDialect: HttpDialect = {
  requestIdHeader: 'request-id',
  maxRetryAfterFraction: 1 / 3,

  readRequest(message) {
    const {headers} = message;
    const id = headers['request-id'];
    if (typeof id !== 'string') {
      return 'request-id is missing';
    }
    return {
      id,
      host: headers.host ?? '',
      method: message.method ?? 'GET',
      path: message.url ?? '/',
      key: headers['key'] as string | undefined,
      waitMs: headers['wait-ms'] ? Number(headers['wait-ms']) : undefined,
      model: headers['model'] as string | undefined,
      promptTokens: 10,
      promptParts: String(headers['prompt-parts'] ?? '')
        .split(' ')
        .filter(Boolean),
      lastEventId: headers['last-event-id'] as string | undefined,
      forwardedHeaders: ['request-id', id],
    };
  },

  createHeaders(request, marks) {
    const headers = [...request.forwardedHeaders];
    headers.push('incarnation', marks.incarnation);
    if (marks.remainingMs !== undefined) {
      headers.push('remaining-ms', String(marks.remainingMs));
    }
    if (marks.lastEventId !== undefined) {
      headers.push('last-event-id', marks.lastEventId);
    }
    return headers;
  },

  computeMaxPauseMs: () => 2_000,

  readResponseHead(status, raw) {
    const headers = Object.fromEntries(
      Object.entries(raw).flatMap(([name, value]) =>
        value === undefined || name === 'transfer-encoding'
          ? []
          : [[name, String(value)]],
      ),
    );
    return {
      status,
      headers,
      requestId: headers['request-id'],
      isSealed: 'seal' in headers,
      limitPerSecond:
        headers['limit'] === undefined ? undefined : Number(headers['limit']),
      coldForMs:
        headers['cold-ms'] === undefined
          ? undefined
          : Number(headers['cold-ms']),
      restMs:
        headers['rest-ms'] === undefined
          ? undefined
          : Number(headers['rest-ms']),
      isLeaving: 'leaving' in headers,
      isNotRun: 'not-run' in headers,
      isWrongIncarnation: status === 421,
      isEventStream: headers['content-type'] === 'text/event-stream',
    };
  },
};
