/** Guards against numbers in the operator's configuration that cannot be computed with, and durations that no timer can hold. */
import {describe, expect, test} from 'vitest';
import {decodeConfiguration} from '../../platform/decode_configuration';
import {computeStallTimeoutMs} from '../../src/gateway/responses/compute_stall_timeout_ms';
import {replaceInPage} from '../support/replace_in_page';

/** `JSON.parse` returns Infinity for it. */
const TOO_LARGE = '1e309';
const MAX_TIMER_MS = 2 ** 31 - 1;
const ENGINE = 'services.0.engine';
const DURATIONS = [
  'routes.0.timeout_ms',
  'routes.0.target_latency_ms',
  'routes.0.gap_aim_ms',
  'limits.header_timeout_ms',
  'limits.idle_timeout_ms',
  `${ENGINE}.models.0.load_s`,
  `${ENGINE}.models.0.warm_s`,
  `${ENGINE}.form_ms`,
  `${ENGINE}.step_ms`,
  `${ENGINE}.per_seq_ms`,
  'services.0.cold_start_s',
];
const NUMBERS = [
  'routes.0.priority',
  'routes.0.max_attempts',
  'routes.0.traffic_split.0.weight',
  `${ENGINE}.models.0.size`,
  `${ENGINE}.models.0.share`,
  `${ENGINE}.models.0.pace`,
  `${ENGINE}.slots`,
  `${ENGINE}.kv_tokens`,
  `${ENGINE}.stride`,
  `${ENGINE}.read_per_s`,
  `${ENGINE}.chunk`,
  `${ENGINE}.keeps`,
  `${ENGINE}.loads_per_s`,
  `${ENGINE}.loads_at_once`,
  `${ENGINE}.far_x`,
  'services.0.max_connections',
  'services.0.cold_per_s',
  'tenants.0.priority',
  'limits.max_header_bytes',
  'limits.max_body_bytes',
];

function decode(path: string, text: string) {
  return decodeConfiguration(replaceInPage('configuration', path, text));
}

describe('a configuration', () => {
  // A product of such a number was Infinity, which the leader cannot decode: the call got no clear answer.
  test.each([...DURATIONS, ...NUMBERS])(
    'with a number in %s that cannot be computed with is refused with the name of the field',
    path => {
      for (const text of [TOO_LARGE, '1e308', '-1', '"1"']) {
        expect(() => decode(path, text)).toThrow(path);
      }
    },
  );

  // Node.js fires a timer that it cannot hold at once.
  test.each(DURATIONS)('has no duration in %s that no timer can hold', path => {
    const maximum = path.endsWith('_s') ? MAX_TIMER_MS / 1_000 : MAX_TIMER_MS;
    expect(() => decode(path, String(maximum))).toThrow(path);
    expect(() => decode(path, '86400.5')).not.toThrow();
  });

  test('with the smallest rate that is accepted leads to finite estimates', () => {
    const path = `${ENGINE}.read_per_s`;
    expect(() => decode(path, '1e-320')).toThrow(path);
    const {pools} = decode(path, '1e-6');
    const stallMs = computeStallTimeoutMs(pools[0].engine, 'daka510000');
    expect(stallMs).toBeLessThan(Infinity);
  });

  // The interval between two permits became infinite, and gateways could not decode the answer.
  test('has a rate for cold servers at which their permits have an interval', () => {
    const path = 'services.0.cold_per_s';
    expect(() => decode(path, '5e-324')).toThrow(path);
    expect(decode(path, '0').pools[0].coldRequestsPerSecond).toBeUndefined();
    expect(decode(path, '0.25').pools[0].coldRequestsPerSecond).toBe(0.25);
  });
});
