/**
 * Guards against a backend server that is registered although no request or order
 * can ever reach it, and against a proper registration that is refused with it.
 */
import * as http from 'node:http';
import {describe, expect, test} from 'vitest';
import {decodeRegistration} from '../../platform/decode_registration';
import {engineIdentity} from '../../platform/engine_identity';
import {messageCodec} from '../../src/protocol/message_codec';
import {pageExamples} from '../support/page_examples';
import {replaceInPage} from '../support/replace_in_page';

const ID = 'i-7f3a91c2';
const GROUP = {name: 'g7', epoch: 12, rank: 0, state: 'ready'};

function decode(changes: object, id = ID) {
  const body = JSON.stringify({...pageExamples.registration, ...changes});
  return decodeRegistration(id, body);
}

describe('a registration', () => {
  test.each([
    {},
    {state: 'draining', sequence: 5},
    {group: GROUP, domain: 'd3', staged: ['daka510000', 'rada7437b5']},
    {group: null, domain: null, models: [], staged: []},
    {domain: 3, born: 1_767_225_600_000},
    {cold_remaining_ms: null, slots: 0, unknown: {field: 1}},
    {cold_remaining_ms: -250.5},
    {zone: 'réseau'},
  ])('with %j beside the example of the page is accepted', changes => {
    const registration = decode(changes);
    const ask = {type: 'registration-ask' as const, call: 1, registration};
    expect(messageCodec.decode(messageCodec.encode(ask))).toEqual(ask);
  });

  // The id names the server in a header of each request that it gets.
  test.each([
    'a\nb',
    'a\0b',
    'a☃',
    'é',
    ' a',
    'a ',
    'x'.repeat(300),
    '',
    '__proto__',
  ])('with the id %j is refused with the name of the field', id => {
    expect(() => decode({}, id)).toThrow('id');
  });

  test.each(['a b', 'i@1', '!', 'x'.repeat(180)])(
    'with the id %j names a server that a header can name',
    id => {
      const {incarnation} = decode({born: Number.MAX_SAFE_INTEGER}, id);
      const sent = engineIdentity.getId(incarnation);
      expect(sent).toBe(id);
      expect(() => http.validateHeaderValue('x', sent)).not.toThrow();
    },
  );

  test.each([
    ['service', '\ud800'],
    ['service', 'x'.repeat(300)],
    ['zone', 'x'.repeat(300)],
    ['domain', 'a\nb'],
    ['domain', 'x'.repeat(300)],
    ['models', [{name: 'a\nb'}]],
    ['models', [{name: 'x'.repeat(300)}]],
    ['staged', ['☃']],
    ['staged', new Array(2_000).fill('a')],
    ['group', {...GROUP, name: 'a\nb'}],
    ['group', {...GROUP, epoch: 1.5}],
    ['group', {...GROUP, rank: -1}],
    ['slots', 1e12],
    ['cold_remaining_ms', 1e308],
  ])('with %s as %j is refused with the name of the field', (field, value) => {
    expect(() => decode({[field]: value})).toThrow(field);
  });

  test.each(['slots', 'sequence', 'cold_remaining_ms', 'born'])(
    'with a number in %s that is not finite is refused with the name of the field',
    field => {
      const body = replaceInPage('registration', field, '1e309');
      expect(() => decodeRegistration(ID, body)).toThrow(field);
    },
  );
});
