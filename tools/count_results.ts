/**
 * Prints the summary line of CI from the JSON report of Vitest. Only tests listed in
 * KNOWN-RED.txt (name, cause and issue, separated by " | ") may fail.
 *
 * Usage: `node count_results.js REPORT EXIT_STATUS`
 */
import {existsSync, readFileSync} from 'node:fs';

interface Suite {
  readonly name: string;
  readonly status: string;
  readonly message: string;
  readonly assertionResults: ReadonlyArray<{status: string; fullName: string}>;
}

const MAX_KNOWN_RED = 3;
/** Tests with crowds of connections have a line each, beside the limit. */
const CROWD_TEST = /^crowd\b/;
const [reportFile, exitStatus] = process.argv.slice(2);

function readKnownRed(): string[] {
  if (!existsSync('KNOWN-RED.txt')) {
    return [];
  }
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  return lines
    .filter(line => line.trim() !== '')
    .map(line => line.split(' | ')[0].trim());
}

function readReport(): {testResults: Suite[]} | undefined {
  try {
    return JSON.parse(readFileSync(reportFile, 'utf8')) as {
      testResults: Suite[];
    };
  } catch {
    return undefined;
  }
}

const knownRed = readKnownRed();
const report = readReport();
const suites = report?.testResults ?? [];
const tests = suites.flatMap(suite => suite.assertionResults);
const failed = tests.filter(test => test.status === 'failed');
const knownFailures = failed.filter(test => knownRed.includes(test.fullName));
const brokenSuites = suites.filter(
  suite =>
    suite.status === 'failed' &&
    !suite.assertionResults.some(test => test.status === 'failed'),
);
const passed = tests.filter(test => test.status === 'passed').length;
knownFailures.forEach(test => console.log(`known red: ${test.fullName}`));
brokenSuites.forEach(suite =>
  console.log(`broken: ${suite.name}: ${suite.message}`),
);

let failures = failed.length - knownFailures.length + brokenSuites.length;
if (knownRed.filter(name => !CROWD_TEST.test(name)).length > MAX_KNOWN_RED) {
  console.log('KNOWN-RED.txt has more than three lines besides crowd tests');
  failures += 1;
}
// A runner that crashed, or that failed without a failed test, counts as a failure.
if (
  !report ||
  passed === 0 ||
  (exitStatus !== '0' && failed.length === 0 && failures === 0)
) {
  failures += 1;
}
console.log(`${passed} passed, ${failures} failed`);
process.exit(failures === 0 ? 0 : 1);
