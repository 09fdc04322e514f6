/** Chooses the entries that a full table of suspects evicts. */
import {Suspect} from './suspect';

/** Length of the prefix of a request's name that identifies its caller. */
const CALLER_DIGITS = 8;
/** Keeps one caller's many suspects from evicting those of other callers. */
const MAX_SUSPECTS_PER_CALLER = 64;
/** At some 300 bytes each, the table stays under 0.4 MB in memory and snapshots. */
const MAX_SUSPECTS = 1_024;

/** Eviction order: entries with a lower rank go first. */
const EVICTION_RANK: Readonly<Record<Suspect['standing'], number>> = {
  watched: 0,
  suspected: 1,
  convicted: 2,
};

/**
 * Selects the suspects over the limits: first those of callers over their own limit,
 * then, one by one, from the caller with the most. Within a caller the lowest
 * standing goes first, then the oldest.
 *
 * @example
 * selectSuspectsToEvict(suspects).forEach(name => suspects.delete(name));
 */
export function selectSuspectsToEvict(
  suspects: ReadonlyMap<string, Suspect>,
): string[] {
  const callers = new Map<string, string[]>();
  for (const [name, {holders}] of suspects) {
    // A part belongs to the first caller that named it.
    const owner = holders?.[0]?.request ?? name;
    const caller = owner.slice(0, CALLER_DIGITS);
    callers.set(caller, [...(callers.get(caller) ?? []), name]);
  }
  const evicted: string[] = [];
  const evictFrom = (names: string[], count: number) => {
    const rank = (name: string) =>
      EVICTION_RANK[suspects.get(name)?.standing ?? 'watched'];
    const sorted = [...names].sort((left, right) => rank(left) - rank(right));
    evicted.push(...sorted.slice(0, count));
    return sorted.slice(count);
  };
  const kept = [...callers.values()].map(names =>
    evictFrom(names, Math.max(0, names.length - MAX_SUSPECTS_PER_CALLER)),
  );
  let remaining = kept.reduce((sum, names) => sum + names.length, 0);
  while (remaining > MAX_SUSPECTS) {
    kept.sort((first, second) => second.length - first.length);
    kept[0] = evictFrom(kept[0], 1);
    remaining -= 1;
  }
  return evicted;
}
