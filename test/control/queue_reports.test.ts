import {expect, test} from 'vitest';
import {QueueReports} from '../../src/control/queue_reports';
import {QueueReport} from '../../src/protocol/queue_report';

function createReport(waiting: number): QueueReport[] {
  const levels = [
    {urgency: 0, waiting, requestsPerSecond: 3},
    {urgency: 1, waiting: 0, requestsPerSecond: 1},
  ];
  return [{pool: 'p', model: 'm', levels}];
}

function findAdmitted(reports: QueueReports, now: number) {
  return reports.list('g', now)?.[0]?.admittedUrgency;
}

test('closes less urgent levels while requests wait in consecutive reports, and no longer', () => {
  const reports = QueueReports.create(true);
  expect(reports.record('g', createReport(1), 1_000)).toBe(false);
  expect(findAdmitted(reports, 1_000)).toBeNull();
  expect(reports.record('g', createReport(2), 1_250)).toBe(true);
  expect(reports.hasChanged('g', 1_250)).toBe(true);
  expect(findAdmitted(reports, 1_250)).toBe(0);
  expect(reports.hasChanged('g', 1_250)).toBe(false);
  expect(reports.record('g', createReport(0), 1_500)).toBe(true);
  expect(findAdmitted(reports, 1_500)).toBeNull();
  // Another request waits; the pause in between shows that it is not the same.
  reports.record('g', createReport(1), 1_750);
  expect(findAdmitted(reports, 1_750)).toBeNull();
});

test('opens the levels again when the report of a gateway is late', () => {
  // Guards against a silent gateway that holds up the requests of all others.
  const reports = QueueReports.create(true);
  reports.record('late', createReport(1), 1_000);
  reports.record('late', createReport(1), 1_250);
  reports.record('g', createReport(0), 1_300);
  expect(findAdmitted(reports, 1_300)).toBe(0);
  expect(reports.record('g', createReport(0), 1_551)).toBe(true);
  expect(findAdmitted(reports, 1_551)).toBeNull();
});

test('does not count the arrivals of a gateway that is gone', () => {
  const reports = QueueReports.create(true);
  reports.record('gone', createReport(0), 1_000);
  reports.record('g', createReport(0), 1_000);
  reports.remove('gone');
  expect(reports.list('gone', 1_000)).toBeUndefined();
  expect(reports.list('g', 1_000)?.[0].arrivals).toEqual([
    {urgency: 0, requestsPerSecond: 3},
    {urgency: 1, requestsPerSecond: 1},
  ]);
});

test('closes no level while this is switched off', () => {
  const reports = QueueReports.create(false);
  reports.record('g', createReport(1), 1_000);
  expect(reports.record('g', createReport(1), 1_250)).toBe(false);
  expect(findAdmitted(reports, 1_250)).toBeNull();
});
