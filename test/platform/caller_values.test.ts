/** Guards against values in the headers of callers that no report can hold: numbers that are not finite, and long names. */
import {IncomingMessage} from 'node:http';
import {describe, expect, test} from 'vitest';
import {platformHttpDialect} from '../../platform/platform_http_dialect';
import {DemandMeter} from '../../src/gateway/scheduling/demand_meter';
import {messageCodec} from '../../src/protocol/message_codec';
import {PROFILE} from '../support/engine_plan';
import {pageExamples} from '../support/page_examples';

function read(changes: Record<string, string>) {
  const headers = {...pageExamples.request, ...changes};
  const rawHeaders = Object.entries(headers).flat();
  const message = {headers, rawHeaders, method: 'POST', url: '/lohu930/2f'};
  const request = platformHttpDialect.readRequest(
    message as unknown as IncomingMessage,
  );
  if (typeof request === 'string') {
    throw new Error(request);
  }
  return request;
}

describe('a request', () => {
  test('like the example of the page is read whole', () => {
    expect(read({})).toMatchObject({
      id: '9c41d07be2a35f68',
      host: 'ficu95.example',
      key: 'n2ctnfzs989anu6wsjnb',
      waitMs: 8_000,
      model: 'daka510000',
      promptTokens: 1_460,
      promptParts: ['5c1e07a2', '91bd3f06'],
      lastEventId: '12',
    });
  });

  test.each([
    ['1460,80', 1_460],
    ['0,80', 0],
    ['999999999,1', 999_999_999],
    ['1000000000,1', 0],
    ['1e309,80', 0],
    ['1e400', 0],
    ['1e308,80', 0],
    ['0x10,80', 0],
    [' 12,80', 0],
    ['-5,80', 0],
    ['1.5,80', 0],
    ['', 0],
    [',80', 0],
    ['many,80', 0],
  ])('with the token usage %j has a prompt of %d tokens', (usage, tokens) => {
    expect(read({'x-whinreel-token-usage': usage}).promptTokens).toBe(tokens);
  });

  test.each([
    ['900', 900],
    ['900.5', 900.5],
    ['99999999999999999999', 2_000_000_000],
    ['9'.repeat(400), 2_000_000_000],
    ['1e309', undefined],
    ['0x10', undefined],
    ['-1', undefined],
    ['0', undefined],
    ['soon', undefined],
  ])('with the deadline %j waits for %s ms', (deadline, waitMs) => {
    const request = read({'x-whinreel-request-deadline-ms': deadline});
    expect(request.waitMs).toBe(waitMs);
  });

  // Reports name the models of requests; their frames have a limit, and callers may name many.
  test.each([
    ['daka510000', 'daka510000'],
    ['x'.repeat(200), 'x'.repeat(200)],
    ['x'.repeat(201), undefined],
    ['x'.repeat(16_000), undefined],
  ])(
    'with the model %s asks for it unless no model has that name',
    (sent, model) => {
      expect(read({'x-whinreel-model': sent}).model).toBe(model);
    },
  );

  // The leader closed the connection on such a report, and the gateway lost control.
  test.each(['1e309,80', '1e308,80', '999999999,1'])(
    'with the token usage %j leaves the report of the gateway decodable',
    usage => {
      const meter = DemandMeter.create({now: () => 0});
      const {promptTokens} = read({'x-whinreel-token-usage': usage});
      for (let count = 0; count < 1_000; count += 1) {
        meter.recordArrival({model: 'big', promptTokens}, PROFILE);
      }
      const report = {
        type: 'gateway-ask' as const,
        call: 1,
        gatewayId: 'g',
        rulesVersion: 0,
        tableTag: '',
        stalled: [],
        answering: [],
        running: {},
        pressed: [],
        hasServed: true,
        isUrgent: false,
        demand: meter.describe(),
      };
      expect(messageCodec.decode(messageCodec.encode(report))).toEqual(report);
    },
  );
});
