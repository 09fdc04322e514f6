/** Checks with drawn headers that what a backend server says of itself fits into the messages that pass it on. */
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {platformHttpDialect} from '../../platform/platform_http_dialect';
import {EventRing} from '../../src/common/event_ring';
import {PermitIssuer} from '../../src/coordination/limits/permit_issuer';
import {BackendSignals} from '../../src/gateway/limits/backend_signals';
import {Message} from '../../src/protocol/message';
import {messageCodec} from '../../src/protocol/message_codec';

const SEED = 20_261_208;
const INCARNATION = 'i-7f3a91c2';

function checkSurvives(message: Message): void {
  expect(messageCodec.decode(messageCodec.encode(message))).toEqual(message);
}

/** Records the head of a response as a gateway does, and returns its signals. */
function record(headers: Record<string, string>, status: number) {
  const head = platformHttpDialect.readResponseHead(status, {
    'x-whinreel-response-seal': 's',
    ...headers,
  });
  const clock = {now: () => 1_000};
  const signals = BackendSignals.create({
    clock,
    leaseClock: clock,
    events: EventRing.create(),
    random: () => 0.5,
    askPermit: () => Promise.reject(new Error('not asked')),
    reportLeaving: () => Promise.resolve(),
    reportNow: () => undefined,
  });
  const sentAt = 900;
  const isColdLimited = true;
  signals.recordHead({incarnation: INCARNATION, head, sentAt, isColdLimited});
  return signals;
}

function checkMessages(signals: BackendSignals): void {
  const {limits = [], cold = []} = signals.limits.describeChanges();
  checkSurvives({
    type: 'gateway-ask',
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
    limits,
    cold,
  });
  const [limit] = limits;
  checkSurvives({type: 'permit-ask', call: 1, gatewayId: 'g', limit});
  const perSecond = limit?.perSecond ?? 0;
  const times = {now: 0, leadingSince: -1e6};
  const issuer = PermitIssuer.create({kind: 'announced', perSecond, ...times});
  const {pauseMs, intervalMs} = issuer.acquire('g', 0);
  const verdict = {kind: 'granted' as const, pauseMs, intervalMs};
  checkSurvives({type: 'permit-answer', call: 1, verdict});
  const {inMs} = signals.reserveRetry([INCARNATION]);
  expect(Number.isNaN(inMs)).toBe(false);
}

// A figure that is not finite in one response took the gateway from control.
test('numbers in the headers of responses lead to messages that survive', () => {
  const value = fc.oneof(
    fc.constantFrom('1e309', '1e400', 'Infinity', 'NaN', '-1', '0x10', '0'),
    fc.constantFrom('0.000000001', '999999999', '9'.repeat(20), '', '1,2'),
    fc.double({min: 0, max: 1e9, noNaN: true}).map(String),
    fc.nat().map(String),
  );
  const names = fc.constantFrom(
    'server-limit',
    'x-whinreel-cold-ms',
    'retry-after',
    'server-leaving',
  );
  const headers = fc.dictionary(names, value, {minKeys: 1});
  fc.assert(
    fc.property(headers, fc.constantFrom(200, 429, 503), (drawn, status) =>
      checkMessages(record(drawn, status)),
    ),
    {numRuns: 3_000, seed: SEED},
  );
});
