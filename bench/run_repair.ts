/** Prints the repair scores as a table: group downtime, stranded accelerators, weighted cost. */
import {formatTable} from '../src/operator/format_table';
import {ScoreRow, scoreRepairs} from './score_repairs';

const POLICIES = ['planner', 'any spare at once', 'wait for return'] as const;

function describe(row: ScoreRow): string[] {
  const cells = POLICIES.map(name => {
    const {downSeconds, strandedSeconds, cost} = row.scores[name];
    return `${downSeconds.toFixed(0)} / ${strandedSeconds.toFixed(0)} / ${cost.toFixed(0)}`;
  });
  return [row.user, row.script, ...cells];
}

function sum(rows: readonly ScoreRow[], policy: string): number {
  return rows.reduce((total, row) => total + row.scores[policy].cost, 0);
}

const rows = scoreRepairs();
process.stdout.write(
  'down group-seconds / stranded accelerator-seconds / weighted cost\n\n',
);
process.stdout.write(
  formatTable(['USER', 'SEQUENCE', ...POLICIES], rows.map(describe)),
);
for (const user of new Set(rows.map(row => row.user))) {
  const own = rows.filter(row => row.user === user);
  const floor = own.reduce((total, row) => total + row.floor, 0);
  const [planner, ...others] = POLICIES.map(policy => sum(own, policy));
  const best = Math.min(...others);
  const caused = 1 - (planner - floor) / (best - floor);
  const worst = Math.max(...own.map(compareToBetter));
  process.stdout.write(
    `\n${user}: total ${planner.toFixed(0)} against ${best.toFixed(0)} of the better baseline, ` +
      `${((1 - planner / best) * 100).toFixed(0)}% less; ` +
      `above the ${floor.toFixed(0)} that idle spares cost without any failure, ` +
      `${(planner - floor).toFixed(0)} against ${(best - floor).toFixed(0)}, ` +
      `${(caused * 100).toFixed(0)}% less; ` +
      `on its worst sequence ${(worst * 100).toFixed(1)}% against the better one there\n`,
  );
}

function compareToBetter(row: ScoreRow): number {
  const baselines = POLICIES.slice(1).map(policy => row.scores[policy].cost);
  return row.scores['planner'].cost / Math.min(...baselines) - 1;
}
