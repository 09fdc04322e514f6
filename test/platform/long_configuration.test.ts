/** Guards against a configuration within the limit of a body whose rules fit into no message, which ended the control process that got it. */
import {expect, test} from 'vitest';
import {decodeConfiguration} from '../../platform/decode_configuration';
import {rulesCodec} from '../../src/protocol/rules_codec';
import {pageExamples} from '../support/page_examples';

const BODY_BYTES = 8 * 1024 * 1024;
const MESSAGE_BYTES = 32 * 1024 * 1024;

function createText(keys: number): string {
  const [tenant] = pageExamples.configuration.tenants;
  const apiKeys = Array.from({length: keys}, (_, key) => key.toString(36));
  const tenants = [{...tenant, api_keys: apiKeys}];
  return JSON.stringify({...pageExamples.configuration, tenants});
}

test('a configuration whose rules are too long for a message is refused', () => {
  const text = createText(600_000);
  expect(text.length).toBeLessThan(BODY_BYTES);
  expect(() => decodeConfiguration(text)).toThrow('too long');
});

test('a configuration with a hundred thousand keys fits into a message', () => {
  const rules = decodeConfiguration(createText(100_000));
  const bytes = rulesCodec.encode(rules).length;
  expect(bytes + BODY_BYTES).toBeLessThan(MESSAGE_BYTES);
});
