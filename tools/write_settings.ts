/**
 * Generates docs/SETTINGS.md from the `--help` output of the programs. With `--check`
 * it writes nothing and fails if the page is out of date.
 */
import {execFileSync} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import * as path from 'node:path';

const ROOT = path.resolve(__dirname, '../..');
const FILE = path.join(ROOT, 'docs/SETTINGS.md');
const PROGRAMS = [
  'whinreel_entry',
  'whinreel_host',
  'whinreel_control',
  'whinreel',
];

function readHelp(program: string): string {
  const script = path.join(ROOT, 'build/src/bin', `${program}.js`);
  return execFileSync(process.execPath, [script, '--help'], {
    encoding: 'utf8',
    env: {...process.env, COLUMNS: '100'},
  });
}

function createPage(): string {
  const sections = PROGRAMS.map(program => {
    const name = program.replaceAll('_', '-');
    return `## ${name}\n\n\`\`\`\n${readHelp(program).trimEnd()}\n\`\`\`\n`;
  });
  const intro =
    '# Settings\n\nMade from the programs by `npm run docs`. Every flag is also a variable, named in brackets; flags go first. Wrong settings: one line, exit code 2.\n';
  return [intro, ...sections].join('\n');
}

const page = createPage();
if (!process.argv.includes('--check')) {
  writeFileSync(FILE, page);
} else if (readFileSync(FILE, 'utf8') !== page) {
  process.stderr.write(
    'docs/SETTINGS.md is not up to date: run "npm run docs"\n',
  );
  process.exitCode = 1;
}
