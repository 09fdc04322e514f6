/** Guards against a gateway that keeps its requests waiting for queues of which it has heard nothing for long. */
import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {ModelAdmissions} from '../../src/gateway/control/model_admissions';

const ADMISSION = {pool: 'p', model: 'm', admittedUrgency: 0, arrivals: []};

function create() {
  const clock = {time: 5_000, now: () => clock.time};
  const events = EventRing.create();
  const admissions = ModelAdmissions.create(clock, events, 'g');
  const listEvents = () => events.listSince(0).map(({type}) => type);
  return {clock, admissions, listEvents};
}

test('forgets the admissions 1 s after the last answered poll, and records it once', () => {
  const {clock, admissions, listEvents} = create();
  admissions.record([ADMISSION], 5_000);
  clock.time = 5_999;
  expect(admissions.findAdmission('p', 'm')).toEqual(ADMISSION);
  expect(admissions.findAdmission('p', 'other')).toBeUndefined();
  clock.time = 6_000;
  expect(admissions.findAdmission('p', 'm')).toBeUndefined();
  expect(admissions.findAdmission('p', 'm')).toBeUndefined();
  expect(listEvents()).toEqual(['admissions-received', 'admissions-expired']);
  admissions.record([ADMISSION], 6_000);
  expect(admissions.findAdmission('p', 'm')).toEqual(ADMISSION);
  expect(listEvents()).toHaveLength(3);
});

test('does not use an answer to a poll from before a pause of this process', () => {
  const {clock, admissions} = create();
  clock.time = 7_000;
  admissions.record([ADMISSION], 5_900);
  expect(admissions.findAdmission('p', 'm')).toBeUndefined();
});

test('forgets them when a leader sends none, and says nothing where none was sent', () => {
  const {admissions, listEvents} = create();
  admissions.record(undefined, 5_000);
  expect(listEvents()).toEqual([]);
  admissions.record([ADMISSION], 5_000);
  admissions.record(undefined, 5_000);
  expect(admissions.findAdmission('p', 'm')).toBeUndefined();
  expect(listEvents()).toEqual(['admissions-received', 'admissions-expired']);
});
