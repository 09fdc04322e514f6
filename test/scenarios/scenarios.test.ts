import {readFileSync, readdirSync} from 'node:fs';
import * as path from 'node:path';
import {describe, test} from 'vitest';
import {parse} from 'yaml';
import {parseScenario} from '../support/scenario';
import {ScenarioRunner} from '../support/scenario_runner';

const files = readdirSync(__dirname).filter(file => file.endsWith('.yaml'));

describe.concurrent('scenarios', () => {
  for (const file of files) {
    const scenario = parseScenario(
      parse(readFileSync(path.join(__dirname, file), 'utf8')),
    );
    test(`${scenario.title} (${file})`, {timeout: 120_000}, () =>
      ScenarioRunner.run(scenario),
    );
  }
});
