import {SoakProcess} from './soak_process';

/**
 * Lists what may be done to one process, by what it says in logs.
 *
 * @example
 * const faults = listProcessFaults('entry', machine, 500);
 */
export function listProcessFaults(
  role: string,
  process: SoakProcess,
  durationMs: number,
): Record<string, () => Promise<unknown>> {
  const {label} = process;
  return {
    [`${role} ${label} killed`]: () => process.restartKilled(durationMs),
    [`${role} ${label} frozen`]: () => process.freeze(durationMs),
    [`${role} ${label} stopped`]: () => process.restartStopped(),
  };
}
