import {expect} from 'vitest';
import {TestFleet} from './test_fleet';

/** Checks that no engine ran for a group under a lower epoch than an earlier run of that group anywhere. */
export function checkEpochs(fleet: TestFleet): void {
  const runs = [...fleet.engines.values()].flatMap(engine => engine.epochs);
  const highest = new Map<string, number>();
  for (const {group, epoch} of runs.sort((left, right) => left.at - right.at)) {
    const seen = highest.get(group) ?? 0;
    expect(epoch, `epoch of ${group}`).toBeGreaterThanOrEqual(seen);
    highest.set(group, epoch);
  }
}
