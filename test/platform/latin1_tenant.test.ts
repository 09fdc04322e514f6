/**
 * Guards against a refusal of a name that headers can hold: a tenant whose name has a
 * letter of Latin-1 was served by the version before, and its configuration, sent again,
 * is refused by this one.
 */
import * as http from 'node:http';
import {expect, test} from 'vitest';
import {decodeConfiguration} from '../../platform/decode_configuration';
import {replaceInPage} from '../support/replace_in_page';

test('a tenant name of Latin-1 letters is accepted', () => {
  const name = 'café';
  expect(() => http.validateHeaderValue('x', name)).not.toThrow();
  const text = replaceInPage(
    'configuration',
    'tenants.0.name',
    JSON.stringify(name),
  );

  expect(decodeConfiguration(text).workspaces?.[0].name).toBe(name);
});
