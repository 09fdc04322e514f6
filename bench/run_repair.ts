/** Prints a table of repair scores: group downtime, stranded accelerators and weighted cost by scenario and policy. */
import {formatTable} from '../src/operator/format_table';
import {ScoreRow, scoreRepairs} from './score_repairs';

const POLICIES = ['planner', 'any spare at once', 'wait for return'] as const;

function formatRow(row: ScoreRow): string[] {
  const cells = POLICIES.map(name => {
    const {downSeconds, strandedSeconds, cost} = row.scores[name];
    return `${downSeconds.toFixed(0)} / ${strandedSeconds.toFixed(0)} / ${cost.toFixed(0)}`;
  });
  return [row.user, row.scenario, ...cells];
}

function sumCosts(rows: readonly ScoreRow[], policy: string): number {
  return rows.reduce((total, row) => total + row.scores[policy].cost, 0);
}

const rows = scoreRepairs();
process.stdout.write(
  'down group-seconds / stranded accelerator-seconds / weighted cost\n\n',
);
process.stdout.write(
  formatTable(['USER', 'SEQUENCE', ...POLICIES], rows.map(formatRow)),
);
for (const user of new Set(rows.map(row => row.user))) {
  const userRows = rows.filter(row => row.user === user);
  const failureFreeCost = userRows.reduce(
    (total, row) => total + row.failureFreeCost,
    0,
  );
  const [planner, ...others] = POLICIES.map(policy =>
    sumCosts(userRows, policy),
  );
  const bestBaseline = Math.min(...others);
  const reduction =
    1 - (planner - failureFreeCost) / (bestBaseline - failureFreeCost);
  const worst = Math.max(...userRows.map(compareToBestBaseline));
  process.stdout.write(
    `\n${user}: total ${planner.toFixed(0)} against ${bestBaseline.toFixed(0)} of the better baseline, ` +
      `${((1 - planner / bestBaseline) * 100).toFixed(0)}% less; ` +
      `above the ${failureFreeCost.toFixed(0)} that idle spares cost without any failure, ` +
      `${(planner - failureFreeCost).toFixed(0)} against ${(bestBaseline - failureFreeCost).toFixed(0)}, ` +
      `${(reduction * 100).toFixed(0)}% less; ` +
      `on its worst sequence ${(worst * 100).toFixed(1)}% against the better one there\n`,
  );
}

function compareToBestBaseline(row: ScoreRow): number {
  const baselines = POLICIES.slice(1).map(policy => row.scores[policy].cost);
  return row.scores['planner'].cost / Math.min(...baselines) - 1;
}
