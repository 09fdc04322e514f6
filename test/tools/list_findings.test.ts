import {expect, test} from 'vitest';
import {listFindings} from '../../tools/list_findings';

const clean = {
  name: 'day-1',
  seed: 7,
  rules: {},
  fault: null,
  short: [],
};

function list(day: object) {
  return listFindings({
    id: 'e1',
    cmd: 'hunt',
    head: 'abc',
    site: 's',
    days: [clean, {...clean, ...day}],
  });
}

// Guards against a missed floor that stood in the entries of hunts while only broken rules were read.
test('a hunted day that is short of the gate is a finding', () => {
  const short = ['short of the gate: 0.23 of the credit; the floor is 0.25'];
  expect(list({short})).toEqual([
    {
      entry: 'e1',
      site: 's',
      command: 'hunt',
      head: 'abc',
      day: 'day-1',
      seed: 7,
      reasons: short,
    },
  ]);
});

test('a broken rule and a fault are findings', () => {
  const [finding] = list({rules: {TWO: 3}, fault: 'a program did not start'});
  expect(finding.reasons).toEqual([
    'broken rule TWO',
    'fault: "a program did not start"',
  ]);
});

test('a clean day and an entry without days are none', () => {
  expect(list({})).toEqual([]);
  expect(listFindings({id: 'b1', cmd: 'build'})).toEqual([]);
});
