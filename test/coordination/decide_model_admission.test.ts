import {describe, expect, test} from 'vitest';
import {decideModelAdmission} from '../../src/coordination/scheduling/decide_model_admission';
import {ReportedLevel} from '../../src/coordination/scheduling/reported_level';

function createLevel(changes: Partial<ReportedLevel> = {}): ReportedLevel {
  return {urgency: 0, requestsPerSecond: 2, ageMs: 100, ...changes};
}

function decide(levels: readonly ReportedLevel[], gateways = 3) {
  return decideModelAdmission(levels, gateways).admittedUrgency;
}

test('sums the arrivals of all gateways by urgency, the most urgent first', () => {
  const levels = [createLevel({urgency: 2}), createLevel(), createLevel()];
  expect(decideModelAdmission(levels, 2).arrivals).toEqual([
    {urgency: 0, requestsPerSecond: 4},
    {urgency: 2, requestsPerSecond: 2},
  ]);
});

describe('the admitted urgency', () => {
  test('is the most urgent one that lacks slots', () => {
    const waitingForMs = 250;
    const levels = [
      createLevel({urgency: 2, waitingForMs}),
      createLevel({urgency: 1, refusedMsAgo: 50}),
      createLevel(),
    ];
    expect(decide(levels)).toBe(1);
  });

  // Guards against levels that stay closed after their cause has ended.
  test.each([
    ['nobody waits or was refused', {}],
    ['a request waits while its slot is claimed', {waitingForMs: 20}],
    ['a request waited in a late report', {waitingForMs: 250, ageMs: 301}],
    ['the refusal is older than 300 ms', {refusedMsAgo: 250, ageMs: 51}],
  ])('is null where %s', (_what, changes) => {
    expect(decide([createLevel(changes)])).toBeNull();
  });

  test('is null where one of many gateways lacks slots', () => {
    // Guards against slots that stay unused because one gateway does not see them.
    const level = createLevel({waitingForMs: 250});
    expect(decide([level], 4)).toBe(0);
    expect(decide([level, level, level], 16)).toBeNull();
    expect(decide([level, level, level, level], 16)).toBe(0);
    expect(decide([level, level, level, level], 340)).toBe(0);
  });
});
