/**
 * Prints the closing line of CI. Tests listed in KNOWN-RED.txt (name, cause,
 * issue, separated by " | ") may fail; anything else may not.
 */
import {existsSync, readFileSync} from 'node:fs';

interface Suite {
  readonly name: string;
  readonly status: string;
  readonly message: string;
  readonly assertionResults: ReadonlyArray<{status: string; fullName: string}>;
}

const MAX_KNOWN_RED = 3;
const [file, status] = process.argv.slice(2);

function readKnownRed(): string[] {
  if (!existsSync('KNOWN-RED.txt')) {
    return [];
  }
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  return lines
    .filter(line => line.trim() !== '')
    .map(line => line.split(' | ')[0].trim());
}

function readResults(): {testResults: Suite[]} | undefined {
  try {
    return JSON.parse(readFileSync(file, 'utf8')) as {testResults: Suite[]};
  } catch {
    return undefined;
  }
}

const knownRed = readKnownRed();
const results = readResults();
const suites = results?.testResults ?? [];
const tests = suites.flatMap(suite => suite.assertionResults);
const failed = tests.filter(test => test.status === 'failed');
const known = failed.filter(test => knownRed.includes(test.fullName));
const brokenSuites = suites.filter(
  suite =>
    suite.status === 'failed' &&
    !suite.assertionResults.some(test => test.status === 'failed'),
);
const passed = tests.filter(test => test.status === 'passed').length;
known.forEach(test => console.log(`known red: ${test.fullName}`));
brokenSuites.forEach(suite =>
  console.log(`broken: ${suite.name}: ${suite.message}`),
);

let failures = failed.length - known.length + brokenSuites.length;
if (knownRed.length > MAX_KNOWN_RED) {
  console.log('KNOWN-RED.txt has more than three lines');
  failures += 1;
}
// A runner that died without a verdict is a failure, too.
if (
  !results ||
  passed === 0 ||
  (status !== '0' && failed.length === 0 && failures === 0)
) {
  failures += 1;
}
console.log(`${passed} passed, ${failures} failed`);
process.exit(failures === 0 ? 0 : 1);
