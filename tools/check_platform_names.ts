/**
 * Checks that the names of the platform, its header names and message fields, occur
 * only in `platform/`. The names are collected from that folder.
 */
import {readFileSync, readdirSync} from 'node:fs';
import * as path from 'node:path';

const ROOT = path.resolve(__dirname, '../..');
const HEADER = /'(x-whinreel-[a-z-]+)'/g;
/** Field names are in snake case, unlike all names of the project itself. */
const FIELD = /\b([a-z]+(?:_[a-z0-9]+)+)\b/g;
const IMPORT_LINE = /^(import .*|} from) .*;$|^} from '.*';$/;

function listFiles(folder: string): string[] {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    const name = path.join(folder, entry.name);
    if (entry.isDirectory()) {
      return listFiles(name);
    }
    return name.endsWith('.ts') ? [name] : [];
  });
}

/** Lines of a file without its imports, since module names are in snake case as well. */
function listLines(file: string): string[] {
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter(line => !IMPORT_LINE.test(line));
}

function collectNames(): Set<string> {
  const names = new Set<string>();
  for (const file of listFiles(path.join(ROOT, 'platform'))) {
    for (const line of listLines(file)) {
      for (const pattern of [HEADER, FIELD]) {
        [...line.matchAll(pattern)].forEach(match => names.add(match[1]));
      }
    }
  }
  return names;
}

function main(): void {
  const names = collectNames();
  let count = 0;
  for (const file of listFiles(path.join(ROOT, 'src'))) {
    listLines(file).forEach(line => {
      const found = [...names].filter(name =>
        new RegExp(`(^|[^a-z0-9_-])${name}([^a-z0-9_-]|$)`).test(line),
      );
      for (const name of found) {
        count += 1;
        const place = path.relative(ROOT, file);
        process.stderr.write(
          `${place}: "${name}" is a name of the platform; decode it in platform/\n`,
        );
      }
    });
  }
  process.exitCode = count === 0 ? 0 : 1;
}

main();
