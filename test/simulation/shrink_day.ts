import {playDay} from './play_day';
import {QuorumDay} from './quorum_day';

/** Leaves out what a broken day does not need to break: one thing after the other, for as long as it still breaks. */
export async function shrinkDay(day: QuorumDay): Promise<QuorumDay> {
  for (const event of day.events) {
    const events = day.events.filter(other => other !== event);
    const smaller = {...day, events};
    if ((await playDay(smaller)).broken !== undefined) {
      return shrinkDay(smaller);
    }
  }
  return day;
}
