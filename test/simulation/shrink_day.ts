import {playDay} from './play_day';
import {QuorumDay} from './quorum_day';

/** Leaves out what a broken day does not need to break: one thing after the other, for as long as it still breaks. */
export async function shrinkDay(day: QuorumDay): Promise<QuorumDay> {
  for (const smaller of listSmaller(day)) {
    if ((await playDay(smaller)).broken !== undefined) {
      return shrinkDay(smaller);
    }
  }
  return day;
}

/** The days that lack one thing that happens in this one. */
function listSmaller(day: QuorumDay): QuorumDay[] {
  const {events, recovery} = day;
  const without = <T>(items: readonly T[]) =>
    items.map(item => items.filter(other => other !== item));
  return [
    ...without(events).map(fewer => ({...day, events: fewer})),
    ...without(recovery?.events ?? []).map(fewer => ({
      ...day,
      recovery: recovery && {...recovery, events: fewer},
    })),
  ];
}
