import {writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {SoakProcess} from './soak_process';

/** What a run that broke something leaves. */
interface SavedLogs {
  readonly name: string;
  readonly broken: readonly string[];
  /** What was done when. */
  readonly faults: readonly string[];
  readonly processes: readonly SoakProcess[];
}

/**
 * Writes the logs of a run into the temporary folder and returns their path; undefined where nothing was broken.
 *
 * @example
 * run.logFile = saveLogs({name: 'soak-7', broken, faults: faults.lines, processes: fleet.machines});
 */
export function saveLogs(logs: SavedLogs): string | undefined {
  const {name, broken, faults, processes} = logs;
  if (broken.length === 0) {
    return undefined;
  }
  const file = path.join(tmpdir(), `whinreel-${name}-${process.pid}.log`);
  const lines = processes.flatMap(({label, log}) =>
    log.map(line => `${label} ${line}`),
  );
  writeFileSync(file, [...broken, ...faults, ...lines].join('\n'));
  return file;
}
