/**
 * Prints the summary line of CI from the JSON report of Vitest. Only tests listed in
 * KNOWN-RED.txt may fail, and a fault of that list fails as well.
 *
 * Usage: `node count_results.js REPORT EXIT_STATUS`
 */
import {existsSync, readFileSync} from 'node:fs';
import {readKnownRed} from './read_known_red';

interface Suite {
  readonly name: string;
  readonly status: string;
  readonly message: string;
  readonly assertionResults: ReadonlyArray<{status: string; fullName: string}>;
}

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const [reportFile, exitStatus] = process.argv.slice(2);

function readReport(): {testResults: Suite[]} | undefined {
  try {
    return JSON.parse(readFileSync(reportFile, 'utf8')) as {
      testResults: Suite[];
    };
  } catch {
    return undefined;
  }
}

const knownRed = readKnownRed(
  existsSync(KNOWN_RED_FILE) ? readFileSync(KNOWN_RED_FILE, 'utf8') : '',
);
const report = readReport();
const suites = report?.testResults ?? [];
const tests = suites.flatMap(suite => suite.assertionResults);
const failed = tests.filter(test => test.status === 'failed');
const knownFailures = failed.filter(test =>
  knownRed.tests.includes(test.fullName),
);
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
knownRed.faults.forEach(fault => console.log(`${KNOWN_RED_FILE}: ${fault}`));
failures += knownRed.faults.length;
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
