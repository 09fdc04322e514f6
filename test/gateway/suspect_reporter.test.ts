/**
 * What a gateway could not tell control was kept and joined with what came later,
 * without a limit, while control takes 512 requests of one end: a report that had
 * grown beyond that was refused each time, and with it everything that waited.
 */
import {expect, test} from 'vitest';
import {SuspectReporter} from '../../src/gateway/suspect_reporter';
import {CrashReport} from '../../src/protocol/crash_report';
import {waitUntil} from '../support/wait_until';

const RUNS = 200;
const TRIES = 5;
/** A frame between processes is far above it, at some 70 bytes for each name. */
const MOST_NAMES = 32 * 1_024;

test('what waits for control to come back never grows beyond what control takes', async () => {
  const reports: CrashReport[][] = [];
  let isAway = true;
  const reporter = SuspectReporter.create(({crashes}) => {
    reports.push(crashes);
    return isAway ? Promise.reject(new Error('away')) : Promise.resolve();
  });
  const breakOn = (incarnation: string, count: number) => {
    for (let at = 0; at < count; at += 1) {
      const name = `${reports.length}-${at}`;
      const target = {incarnation, address: 'a:1'};
      reporter.recordCrash({target, name, hasResponseStarted: at % 2 === 0});
    }
  };
  while (reports.length < TRIES) {
    const before = reports.length;
    breakOn('i0', 2 * RUNS);
    for (let other = 0; other < RUNS; other += 1) {
      breakOn(`${before}-${other}`, RUNS);
    }
    await waitUntil('a try', () => reports.length > before);
  }
  isAway = false;
  const before = reports.length;
  await waitUntil('a report that is taken', () => reports.length > before);
  reporter.close();

  for (const crashes of reports) {
    const count = crashes.reduce(
      (sum, {notBegun, begun}) => sum + notBegun.length + begun.length,
      0,
    );
    expect(count).toBeLessThanOrEqual(MOST_NAMES);
    for (const crash of crashes) {
      expect(CrashReport.safeParse(crash).success).toBe(true);
    }
  }
});
