import {describe, expect, test} from 'vitest';
import {z} from 'zod';
import {resolveDocument} from '../../src/config/resolve_document';

const schema = z.object({
  name: z.string(),
  port: z.int().min(1).default(80),
  peers: z.array(z.string()).default([]),
  range: z.array(z.int()).default([1, 2]),
  limits: z
    .object({files: z.int().optional(), waitMs: z.number().default(5)})
    .prefault({}),
});

function resolve(document: unknown, replacements?: unknown) {
  return resolveDocument({
    schema,
    document,
    lists: ['peers'],
    expected: ['peers', 'limits.waitMs'],
    replacements,
  });
}

const SOUND = {name: 'a', port: 8, peers: ['b'], limits: {waitMs: 7}};

describe('a document', () => {
  test('that is sound has no faults', () => {
    expect(resolve(SOUND)).toEqual({
      value: {...SOUND, range: [1, 2]},
      faults: [],
    });
  });

  // One wrong field made the whole file unusable, and a process could not start.
  test('with wrong fields keeps the sound ones, and the defaults stand in', () => {
    const {value, faults} = resolve({
      ...SOUND,
      port: 0,
      limits: {files: Infinity, waitMs: 7},
    });

    expect(value).toEqual({...SOUND, port: 80, range: [1, 2]});
    expect(faults.map(({path, used}) => [path, used])).toEqual([
      ['port', 80],
      ['limits.files', undefined],
    ]);
    expect(faults[0].problem).toMatch(/^is 0: /);
    expect(faults[1].problem).toMatch(/^is Infinity: /);
  });

  test('loses the wrong entries of a list, which are named by their places', () => {
    const {value, faults} = resolve({...SOUND, peers: [1, 'b', true, 'c', 5n]});

    expect(value?.peers).toEqual(['b', 'c']);
    expect(faults.map(({path}) => path).sort()).toEqual([
      'peers.0',
      'peers.2',
      'peers.4',
    ]);
  });

  test('loses a list that counts only as a whole', () => {
    const {value, faults} = resolve({...SOUND, range: [3, 'x', 'y']});

    expect(value?.range).toEqual([1, 2]);
    expect(faults.map(({path}) => path)).toEqual(['range']);
  });

  test('with another value in place of a table has one fault', () => {
    const {value, faults} = resolve({...SOUND, limits: 5});

    expect(value?.limits).toEqual({waitMs: 5});
    expect(faults.map(({path}) => path)).toEqual(['limits']);
  });

  test('tells the absence of a field that it should have', () => {
    const {value, faults} = resolve({name: 'a'});

    expect(value).toMatchObject({peers: [], limits: {waitMs: 5}});
    expect(faults).toEqual([
      {path: 'peers', problem: 'is missing', used: []},
      {path: 'limits.waitMs', problem: 'is missing', used: 5},
    ]);
  });

  test('has no value when a field is wrong or missing that nothing stands in for', () => {
    const wrong = resolve({...SOUND, name: 5});
    expect(wrong.value).toBeUndefined();
    expect(wrong.faults).toHaveLength(1);
    expect(wrong.faults[0]).toMatchObject({path: 'name'});
    expect(wrong.faults[0].problem).toMatch(/^is 5: /);

    const missing = resolve({...SOUND, name: undefined});
    expect(missing.value).toBeUndefined();
    expect(missing.faults).toEqual([
      {path: 'name', problem: 'is missing', used: undefined},
    ]);
    expect(resolve('text').value).toBeUndefined();
  });

  test('takes replacements before defaults', () => {
    const {value} = resolve({port: 'x', limits: 5}, {...SOUND, name: 'old'});

    expect(value).toEqual({...SOUND, name: 'old', range: [1, 2]});
  });

  test('is not changed, and long values are cut', () => {
    const document = {...SOUND, port: 'x'.repeat(10_000)};
    const {faults} = resolve(document);

    expect(document.port).toHaveLength(10_000);
    expect(faults[0].problem.length).toBeLessThan(200);
  });
});
