import {describe, expect, test} from 'vitest';
import {RequestIdentity} from '../../src/gateway/crashes/request_identity';
import {SuspectList} from '../../src/gateway/crashes/suspect_list';
import {SuspectTable} from '../../src/state/suspect_table';

/** Requests of two callers; a name begins with a digest of the caller. */
const ALICE = 'aaaaaaaa';
const BOB = 'bbbbbbbb';
const PART = 'part:x@m';
const BESIDE = 'part:y@m';
const APART_MS = 3_000;

/** Creates a table with a virtual clock, which passes between two crashes. */
function start() {
  let table = SuspectTable.create();
  let time = 1_000;
  let crashes = 0;
  const crash = (request: string, parts: string[], isTrial = false) => {
    time += APART_MS;
    crashes += 1;
    const incarnation = `i${crashes}`;
    if (isTrial) {
      const isUncovered = true;
      table.beginTrial({name: parts[0], incarnation, isUncovered}, time);
    }
    const holder = {request, parts};
    const report = {incarnation, notBegun: [request], begun: []};
    table.recordCrash({...report, parts: [holder]}, time);
  };
  return {
    crash,
    /** Crashes of two requests of each caller, the last one in a trial. */
    convict: (callers: string[], parts: string[]) => {
      callers.forEach((caller, at) => crash(`${caller}${at}`, parts));
      crash(`${callers[0]}last`, parts, true);
    },
    clear: (name: string) => table.clearSuspect(name),
    revoke: (name: string) => table.revokeVerdict(name, 'ordered'),
    restore: () => (table = SuspectTable.create(table.save())),
    standing: (name = PART) => table.find(name)?.standing,
    takeChanges: () => table.takeVerdictChanges(),
    describe: (name = PART) =>
      table.listChangesSince(0).parts?.find(part => part.name === name),
    update: () => table.listChangesSince(0),
  };
}

function createIdentity(workspace: string, ids: string[]): RequestIdentity {
  const request = {host: 'h', method: 'POST', path: '/', model: 'm'};
  return RequestIdentity.create({
    request: {...request, promptParts: ids},
    workspace,
    body: Buffer.from('body'),
  });
}

describe('a part of prompts', () => {
  test('is watched after one crash, suspected after two and convicted after a third in a trial', () => {
    const {crash, standing} = start();
    crash(`${ALICE}1`, [PART]);
    expect(standing()).toBe('watched');
    crash(`${BOB}2`, [PART]);
    expect(standing()).toBe('suspected');
    crash(`${ALICE}3`, [PART], true);
    expect(standing()).toBe('convicted');
  });

  test('is not convicted without a crash in a trial', () => {
    const {crash, standing} = start();
    [1, 2, 3, 4, 5].forEach(number => crash(`${ALICE}${number}`, [PART]));
    expect(standing()).toBe('suspected');
  });

  test('is not convicted by a single request, whatever that holds', () => {
    const {crash, standing} = start();
    [1, 2, 3, 4].forEach(() => crash(`${ALICE}1`, [PART], true));
    expect(standing()).not.toBe('convicted');
  });

  test('that always came with another one is judged together with it', () => {
    const {convict, describe: describePart, clear} = start();
    convict([ALICE, BOB], [PART, BESIDE]);
    expect(describePart()).toMatchObject({
      standing: 'convicted',
      companions: [BESIDE],
    });
    clear(BESIDE);
    expect(describePart()?.companions).toEqual([]);
  });

  test('is convicted for the only caller that held it, and for all once another one did', () => {
    const {convict, crash, describe: describePart} = start();
    convict([ALICE, ALICE], [PART]);
    expect(describePart()?.caller).toBe(ALICE);
    crash(`${BOB}1`, [PART], true);
    expect(describePart()?.caller).toBeUndefined();
  });

  test('is free once the response to a request with it begins', () => {
    const {convict, clear, standing, takeChanges} = start();
    convict([ALICE, BOB], [PART]);
    takeChanges();
    clear(PART);
    expect(standing()).toBeUndefined();
    expect(takeChanges()).toEqual([
      {
        name: PART,
        type: 'verdict-lifted',
        reason: 'the response to a request with it has begun',
      },
    ]);
  });

  test('stays convicted through a snapshot, until an operator lifts it', () => {
    const {convict, restore, revoke, standing} = start();
    convict([ALICE, BOB], [PART]);
    restore();
    expect(standing()).toBe('convicted');
    expect(revoke(PART)).toBe(true);
    expect(standing()).toBeUndefined();
  });
});

describe('a gateway', () => {
  test('refuses requests with a convicted part, and sends others freely', () => {
    const {convict, update} = start();
    convict([ALICE, BOB], [PART]);
    const list = SuspectList.create();
    list.apply(update());

    expect(list.findStatus(createIdentity('w', ['common', 'x']))).toBe(
      'convicted',
    );
    expect(list.findStatus(createIdentity('w', ['common']))).toBe('free');
  });

  test('sends a request without all parts of a verdict, or of another caller, only as a trial', () => {
    const list = SuspectList.create();
    const part = {name: PART, standing: 'convicted' as const};
    const update = {version: 1, isWhole: true, suspected: [], convicted: []};
    list.apply({
      ...update,
      freed: [],
      parts: [{...part, companions: [BESIDE]}],
    });
    const uncovered = createIdentity('w', ['x']);
    expect(list.findStatus(uncovered)).toBe('suspected');
    expect(list.findTrialSubject(uncovered)).toEqual({
      name: PART,
      request: uncovered.name,
      isUncovered: true,
    });
    expect(list.findStatus(createIdentity('w', ['x', 'y']))).toBe('convicted');

    const {caller} = createIdentity('w', []);
    const parts = [{...part, companions: [], caller}];
    list.apply({...update, version: 2, freed: [], parts});
    expect(list.findStatus(createIdentity('w', ['x']))).toBe('convicted');
    expect(list.findStatus(createIdentity('other', ['x']))).toBe('suspected');
  });

  test('does not restrict a part that is only watched, or one of another model', () => {
    const {crash, update} = start();
    crash(`${ALICE}1`, [PART]);
    const list = SuspectList.create();
    list.apply(update());
    const identity = createIdentity('w', ['x']);

    expect(list.findStatus(identity)).toBe('free');
    expect(list.listParts(identity)).toEqual([PART]);
  });
});
