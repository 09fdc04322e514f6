import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {CORRELATED_CRASH_WINDOW_MS} from '../../src/coordination/requests/correlated_crash_window_ms';
import {SuspectTable} from '../../src/state/suspect_table';

const CALLER = 'aaaaaaaa';
const LONG_MS = 60_000;

/** Creates a table, and helpers that use a virtual clock. */
function start() {
  const table = SuspectTable.create();
  let time = 1_000;
  return {
    table,
    wait: (ms: number) => (time += ms),
    end: (incarnation: string, notBegun: string[], begun: string[] = []) =>
      table.recordCrash({incarnation, notBegun, begun}, time),
    grant: (name: string, incarnation: string) =>
      table.beginTrial({name, incarnation}, time),
    standing: (name: string) => table.find(name)?.standing,
    /** Advances the clock past the crash window and requests a trial, which convicts after two crashes. */
    convict: (name: string) => {
      time += CORRELATED_CRASH_WINDOW_MS;
      return table.beginTrial({name, incarnation: 'somewhere'}, time);
    },
  };
}

describe('a request', () => {
  test('is suspected after one crash, gets no trial after two, and is convicted if no other server crashed close to them', () => {
    const {end, wait, grant, standing} = start();
    end('i1', ['p', 'h1', 'h2']);
    expect(standing('p')).toBe('suspected');
    wait(500);
    end('i2', ['p', 'h3']);
    expect(grant('p', 'i3')).toBe('busy');
    wait(CORRELATED_CRASH_WINDOW_MS - 1);
    expect(grant('p', 'i3')).toBe('busy');
    wait(1);
    expect(grant('p', 'i3')).toBe('convicted');
    expect(standing('p')).toBe('convicted');
  });

  test('that was only present is freed once another one is convicted of the crash', () => {
    const {end, wait, standing, convict} = start();
    end('i1', ['p', 'h1'], ['h2']);
    wait(500);
    end('i2', ['p'], ['h2']);
    convict('p');
    end('i1', ['h4'], ['h5']);
    expect(['h1', 'h2', 'h4', 'h5'].map(standing)).toEqual(
      Array(4).fill(undefined),
    );
  });

  test('is not convicted while another request was present at each crash', () => {
    const {end, wait, standing} = start();
    end('i1', ['p', 'q']);
    wait(500);
    end('i2', ['p', 'q']);
    expect([standing('p'), standing('q')]).toEqual(['suspected', 'suspected']);
    wait(500);
    end('i3', ['p']);
    expect([standing('p'), standing('q')]).toEqual(['convicted', undefined]);
  });

  test('is not convicted after two crashes of which one is correlated, but after three', () => {
    const {end, wait, grant, standing} = start();
    end('i1', ['p']);
    end('i9', ['h1']);
    wait(500);
    end('i2', ['p']);
    wait(CORRELATED_CRASH_WINDOW_MS);
    expect(grant('p', 'i3')).toBe('granted');
    wait(500);
    end('i3', ['p']);
    expect(standing('p')).toBe('convicted');
  });

  test('is not convicted of two crashes if another server crashes right after the second', () => {
    const {end, wait, grant} = start();
    end('i1', ['p']);
    wait(500);
    end('i2', ['p']);
    wait(500);
    end('i4', ['h1']);
    wait(CORRELATED_CRASH_WINDOW_MS);
    expect(grant('p', 'i3')).toBe('granted');
  });

  test('whose response had started each time is convicted after three crashes', () => {
    const {end, wait, grant, standing} = start();
    for (const incarnation of ['i1', 'i2', 'i3']) {
      expect(standing('p')).not.toBe('convicted');
      end(incarnation, [], ['p']);
      wait(LONG_MS);
    }
    expect(grant('p', 'i4')).toBe('convicted');
  });

  test('that ran to completion is cleared, even if it was convicted', () => {
    const {table, end, wait, standing, convict} = start();
    end('i1', ['p', 'h1']);
    table.clearSuspect('h1');
    expect(standing('h1')).toBeUndefined();
    wait(500);
    end('i2', ['p']);
    convict('p');
    table.clearSuspect('p');
    expect(standing('p')).toBeUndefined();
    expect(table.takeVerdictChanges().map(({type}) => type)).toEqual([
      'request-convicted',
      'verdict-lifted',
    ]);
  });

  test('is freed by an operator, once', () => {
    const {table, end, wait, standing, convict} = start();
    end('i1', ['p']);
    wait(500);
    end('i2', ['p']);
    convict('p');
    expect(table.revokeVerdict('p', 'ordered')).toBe(true);
    expect(standing('p')).toBeUndefined();
    expect(table.revokeVerdict('p', 'ordered')).toBe(false);
  });

  test('is convicted of two crashes once the correlated crash is explained by another request', () => {
    const {end, wait, standing, convict} = start();
    end('i1', ['p']);
    wait(500);
    end('i2', ['p']);
    end('i3', ['q']);
    wait(500);
    end('i4', ['q']);
    wait(500);
    end('i5', ['q']);
    convict('p');
    expect([standing('p'), standing('q')]).toEqual(['convicted', 'convicted']);
  });

  test('is not suspected for a crash that was withdrawn', () => {
    const {table, end, wait, standing, convict} = start();
    end('i1', ['p', 'h1']);
    wait(500);
    end('i2', ['p']);
    convict('p');
    table.withdrawCrash('i2');
    expect(standing('p')).toBe('suspected');
    table.withdrawCrash('i1');
    expect(standing('p')).toBeUndefined();
  });

  test('stays convicted however much time passes', () => {
    const {end, wait, standing, convict} = start();
    end('i1', ['p']);
    wait(500);
    end('i2', ['p']);
    convict('p');
    wait(1_000 * LONG_MS);
    end('i3', ['h1']);
    expect(standing('p')).toBe('convicted');
  });
});

describe('a trial', () => {
  test('is granted to one suspect per backend server, and to a suspect on one backend server only', () => {
    const {table, end, grant} = start();
    end('i1', ['p', 'q']);
    expect(grant('p', 'i2')).toBe('granted');
    expect(grant('p', 'i3')).toBe('busy');
    expect(grant('q', 'i2')).toBe('busy');
    expect(grant('q', 'i1')).toBe('busy');
    expect(grant('q', 'i3')).toBe('granted');
    table.endTrial('p');
    expect(grant('p', 'i2')).toBe('granted');
  });

  test('is not needed by a request without evidence, and never granted to a convicted one', () => {
    const {end, wait, grant, convict} = start();
    expect(grant('h1', 'i1')).toBe('free');
    end('i1', ['p']);
    wait(500);
    end('i2', ['p']);
    convict('p');
    expect(grant('p', 'i3')).toBe('convicted');
  });

  test('of a gateway that never reports back expires', () => {
    const {end, wait, grant} = start();
    end('i1', ['p', 'q']);
    expect(grant('p', 'i2')).toBe('granted');
    wait(LONG_MS);
    expect(grant('q', 'i2')).toBe('granted');
  });
});

describe('the suspect list', () => {
  test('returns changes for a known version, and the whole list otherwise', () => {
    const {table, end, wait, convict} = start();
    end('i1', ['p', 'h1']);
    const {version} = table;
    wait(500);
    end('i2', ['p']);
    convict('p');
    expect(table.listChangesSince(version)).toEqual({
      version: table.version,
      isWhole: false,
      suspected: [],
      convicted: ['p'],
      freed: ['h1'],
    });
    const copy = SuspectTable.create(table.save());
    expect(copy.listChangesSince(0)).toEqual(table.listChangesSince(0));
    expect(copy.listChangesSince(version)).toEqual(
      table.listChangesSince(version),
    );
  });

  test('evicts from a caller over its limit first, and suspects before convicted requests', () => {
    const {end, wait, standing, table, convict} = start();
    end('i1', ['bbbbbbbb-other']);
    wait(LONG_MS);
    end('i2', [`${CALLER}-p`]);
    wait(500);
    end('i3', [`${CALLER}-p`]);
    convict(`${CALLER}-p`);
    wait(LONG_MS);
    for (let at = 0; at < 100; at += 1) {
      end(`f${at}`, [`${CALLER}-${at}`]);
      wait(LONG_MS);
    }
    expect(standing(`${CALLER}-p`)).toBe('convicted');
    expect(standing('bbbbbbbb-other')).toBe('suspected');
    expect(standing(`${CALLER}-0`)).toBeUndefined();
    expect(standing(`${CALLER}-99`)).toBe('suspected');
    expect(table.list().length).toBe(65);
  });
});

/** One random operation on the table. */
const operation = fc.record({
  kind: fc.constantFrom('end', 'clear', 'release', 'trial', 'withdraw'),
  server: fc.nat(30),
  names: fc.uniqueArray(fc.nat(20), {minLength: 1, maxLength: 5}),
  begun: fc.boolean(),
  waitMs: fc.nat(3_000),
});

test('no request is convicted without two crashes, and a follower of the changes always has the current list', () => {
  fc.assert(
    fc.property(fc.array(operation, {maxLength: 60}), operations => {
      const {table, wait, end, grant} = start();
      const held = new Map<string, string>();
      let version = 0;
      for (const {kind, server, names, begun, waitMs} of operations) {
        wait(waitMs);
        const callers = names.map(name => `${CALLER}${name}`);
        const apply = {
          end: () =>
            begun ? end(`i${server}`, [], callers) : end(`i${server}`, callers),
          clear: () => table.clearSuspect(callers[0]),
          release: () => table.endTrial(callers[0]),
          trial: () => grant(callers[0], `i${server}`),
          withdraw: () => table.withdrawCrash(`i${server}`),
        };
        apply[kind]();
        const news = table.listChangesSince(version);
        if (news.isWhole) {
          held.clear();
        }
        news.suspected.forEach(name => held.set(name, 'suspected'));
        news.convicted.forEach(name => held.set(name, 'convicted'));
        news.freed.forEach(name => held.delete(name));
        ({version} = news);
        const expected = table
          .list()
          .flatMap(([name, {standing}]) =>
            standing === 'watched' ? [] : [[name, standing]],
          );
        expect([...held].sort()).toEqual(expected.sort());
        for (const [, {crashes, standing}] of table.list()) {
          const servers = new Set(crashes.map(({incarnation}) => incarnation));
          expect(standing !== 'convicted' || servers.size >= 2).toBe(true);
        }
      }
    }),
    {seed: 31, numRuns: 300},
  );
});
