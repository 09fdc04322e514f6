/**
 * Guards against names in the operator's configuration that no header, message or
 * order can hold, and against a proper configuration that is refused with them.
 */
import * as http from 'node:http';
import {describe, expect, test} from 'vitest';
import {decodeConfiguration} from '../../platform/decode_configuration';
import {rulesCodec} from '../../src/protocol/rules_codec';
import {pageExamples} from '../support/page_examples';
import {replaceInPage} from '../support/replace_in_page';

const TENANT = 'tenants.0.name';
const KEY = 'tenants.0.api_keys.0';
const SERVICE = 'services.1.name';
const MODEL = 'services.0.engine.models.0.name';
const LONG = 'x'.repeat(300);

function decode(path: string, value: string) {
  const text = JSON.stringify(value);
  return decodeConfiguration(replaceInPage('configuration', path, text));
}

describe('a configuration', () => {
  test('like the example of the page is accepted', () => {
    const rules = decodeConfiguration(
      JSON.stringify(pageExamples.configuration),
    );
    expect(rulesCodec.decode(rulesCodec.encode(rules))).toEqual(rules);
    expect(rules.workspaces?.[0].name).toBe('hule930');
  });

  // Every request of such a tenant would fail where the name goes into a header.
  test.each(['a\nb', 'a\0b', 'a\x7fb', 'a\x80b', 'a☃', 'Ā', ' a', 'a ', LONG])(
    'with the tenant name %j is refused with the name of the field',
    name => {
      expect(() => decode(TENANT, name)).toThrow(TENANT);
    },
  );

  // Headers are Latin-1.
  test.each([
    [TENANT, 'caf\xe9'],
    ['routes.0.host', '[::1]'],
    [KEY, 'cl\xe9'],
    [MODEL, 'mod\xe8le'],
  ])('with %s as %j is accepted', (path, value) => {
    expect(() => http.validateHeaderValue('x', value)).not.toThrow();
    expect(() => decode(path, value)).not.toThrow();
  });

  test.each([
    [KEY, 'a b'],
    [KEY, 'Ā'],
    [KEY, 'a\nb'],
    [KEY, '☃'],
    [SERVICE, '\ud800'],
    [SERVICE, LONG],
    [MODEL, 'a\nb'],
    [MODEL, '☃'],
    [MODEL, '__proto__'],
    [SERVICE, '__proto__'],
    ['routes.0.name', '\ud800'],
    ['routes.0.host', 'a b'],
    ['routes.0.host', 'a\nb'],
    ['routes.0.host', '☃'],
    ['routes.0.host', 'é'],
    ['routes.0.host', '['],
    ['routes.0.host', '[h]'],
    ['routes.0.host', 'h.example:80'],
    ['routes.0.host', '[::1]:'],
    ['routes.0.path_prefix', '/a b/'],
    ['routes.0.path_prefix', '/a?b/'],
    ['routes.0.path_prefix', '/☃/'],
  ])('with %s as %j is refused with the name of the field', (path, value) => {
    expect(() => decode(path, value)).toThrow(path);
  });

  test('names only tenants that fit into a header', () => {
    for (const name of ['a', 'a b', '~', '!"#$%&()*+,-./:;<=>?@[]^_`{|}']) {
      const [tenant] = decode(TENANT, name).workspaces ?? [];
      expect(() => http.validateHeaderValue('x', tenant.name)).not.toThrow();
    }
  });
});
