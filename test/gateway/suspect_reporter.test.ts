/**
 * Guards against reports that grow beyond what the control plane accepts:
 * unsent reports were merged with later ones without a limit, while it takes
 * 512 requests per crash. A larger report was refused each time, and with it
 * everything else that waited.
 */
import {expect, test} from 'vitest';
import {ServerAddress} from '../../src/common/server_address';
import {SuspectReporter} from '../../src/gateway/crashes/suspect_reporter';
import {CrashReport} from '../../src/protocol/crash_report';
import {waitUntil} from '../support/wait_until';

const REQUESTS = 200;
const ATTEMPTS = 5;
/**
 * A message between processes may be far larger than this, at about 70 bytes
 * for each name.
 */
const MOST_NAMES = 32 * 1_024;

test('what waits for the control plane never grows beyond what it accepts', async () => {
  const reports: CrashReport[][] = [];
  let isUnreachable = true;
  const reporter = SuspectReporter.create(({crashes}) => {
    reports.push(crashes);
    return isUnreachable
      ? Promise.reject(new Error('unreachable'))
      : Promise.resolve();
  });
  const crash = (incarnation: string, count: number) => {
    for (let at = 0; at < count; at += 1) {
      const name = `${reports.length}-${at}`;
      const target = {incarnation, address: ServerAddress.parse('a:1')};
      reporter.recordCrash({target, name, hasResponseStarted: at % 2 === 0});
    }
  };
  while (reports.length < ATTEMPTS) {
    const before = reports.length;
    crash('i0', 2 * REQUESTS);
    for (let other = 0; other < REQUESTS; other += 1) {
      crash(`${before}-${other}`, REQUESTS);
    }
    await waitUntil('an attempt', () => reports.length > before);
  }
  isUnreachable = false;
  const before = reports.length;
  await waitUntil('an accepted report', () => reports.length > before);
  reporter.close();

  for (const crashes of reports) {
    const count = crashes.reduce(
      (sum, {notBegun, begun}) => sum + notBegun.length + begun.length,
      0,
    );
    expect(count).toBeLessThanOrEqual(MOST_NAMES);
    for (const entry of crashes) {
      expect(CrashReport.safeParse(entry).success).toBe(true);
    }
  }
});
