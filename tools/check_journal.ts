/**
 * Prints the played days of the journal that broke a rule or were short of the gate, and fails
 * if there are any. A hunted day that misses a floor is a finding like one with a broken rule.
 *
 * Usage: `node check_journal.js [HEAD ...]`; with commits, only plays of these.
 */
import {readFileSync, readdirSync} from 'node:fs';
import * as path from 'node:path';
import {listFindings} from './list_findings';

const JOURNAL = path.resolve(__dirname, '../../journal');
const heads = process.argv.slice(2);

const findings = readdirSync(JOURNAL)
  .filter(name => name.endsWith('.json'))
  .sort()
  .flatMap(name =>
    listFindings(
      JSON.parse(readFileSync(path.join(JOURNAL, name), 'utf8')) as unknown,
    ),
  )
  .filter(
    ({head}) =>
      heads.length === 0 || heads.some(prefix => head.startsWith(prefix)),
  );
for (const {site, command, head, day, seed, entry, reasons} of findings) {
  const play = `${site} ${command} ${day} --seed ${seed ?? 'unknown'}`;
  console.log(
    `${play} on ${head.slice(0, 7)} (${entry}): ${reasons.join('; ')}`,
  );
}
console.log(`${findings.length} findings`);
process.exit(findings.length === 0 ? 0 : 1);
