/**
 * Guards against a gateway that goes back to an older list of evacuated zones: polls that
 * are sent in parallel may be answered in another order than they were decided.
 */
import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {ZoneEvacuations} from '../../src/gateway/control/zone_evacuations';

function create() {
  const events = EventRing.create();
  const evacuations = ZoneEvacuations.create(events);
  const apply = (version: number | undefined, zones?: readonly string[]) =>
    evacuations.apply(
      {
        evacuationsVersion: version,
        evacuations: zones?.map(zone => ({zone, requestedBy: 'o', since: 1})),
      },
      10,
    );
  const listEvents = () =>
    events.listSince(0).map(({type, id}) => `${type} ${id}`);
  return {evacuations, apply, listEvents};
}

test('takes over each newer list and records what changed', () => {
  const {evacuations, apply, listEvents} = create();
  expect(apply(1, ['a'])).toBe(true);
  expect(apply(2, ['a', 'b'])).toBe(true);
  expect(apply(3, ['b'])).toBe(true);

  expect(evacuations.version).toBe(3);
  expect([evacuations.has('a'), evacuations.has('b')]).toEqual([false, true]);
  expect(listEvents()).toEqual([
    'zone-evacuated a',
    'zone-evacuated b',
    'zone-restored a',
  ]);
});

test('an older answer changes nothing and does not count as a confirmation', () => {
  const {evacuations, apply} = create();
  apply(2, ['a']);
  expect(apply(1, [])).toBe(false);
  expect(evacuations.has('a')).toBe(true);
});

test('an answer without a newer list that it names does not count as a confirmation', () => {
  const {apply} = create();
  expect(apply(1)).toBe(false);
});

test('an answer of the same version is a confirmation', () => {
  const {apply} = create();
  expect(apply(0)).toBe(true);
  apply(1, ['a']);
  expect(apply(1)).toBe(true);
});

test('an answer of a leader that knows no evacuations confirms only that there were none', () => {
  const {apply} = create();
  expect(apply(undefined)).toBe(true);
  apply(1, ['a']);
  expect(apply(undefined)).toBe(false);
});

test('an unknown zone counts as evacuated while any zone is', () => {
  const {evacuations, apply} = create();
  expect(evacuations.has('')).toBe(false);
  apply(1, ['a']);
  expect(evacuations.has('')).toBe(true);
  apply(2, []);
  expect(evacuations.has('')).toBe(false);
});
