import {readFileSync} from 'node:fs';

const TICKS_PER_SECOND = 100;
const BYTES_PER_PAGE = 4_096;
const BYTES_PER_MB = 1_000_000;
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const RESIDENT_PAGES_FIELD = 1;

/** Reads CPU time and resident memory of a process from `/proc`. */
export function readProcessUsage(pid: number): {
  cpuSeconds: number;
  residentMb: number;
} {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  const pages = Number(
    readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[RESIDENT_PAGES_FIELD],
  );
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentMb: (pages * BYTES_PER_PAGE) / BYTES_PER_MB,
  };
}
