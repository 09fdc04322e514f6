import {expect, test} from 'vitest';
import {decideInitialVoters} from '../../src/control/decide_initial_voters';

function answer(
  identity: string,
  voters: Record<string, string> | null = null,
) {
  return {type: 'formation-answer', identity, voters} as const;
}

test('a first quorum is formed only when every other process answered with an empty disk', () => {
  const one = new Map([['b', answer('b/1')]]);
  const both = new Map([...one, ['c', answer('c/1')]]);

  expect(decideInitialVoters('a/1', ['b', 'c'], one)).toBeUndefined();
  expect(decideInitialVoters('a/1', ['b', 'c'], both)).toEqual({
    a: 'a/1',
    b: 'b/1',
    c: 'c/1',
  });
});

test('a process with a new disk takes the word of a standing quorum, where its old disk has the vote', () => {
  const voters = {a: 'a/old', b: 'b/1', c: 'c/1'};

  expect(
    decideInitialVoters(
      'a/new',
      ['b', 'c'],
      new Map([['b', answer('b/1', voters)]]),
    ),
  ).toEqual(voters);
});

test('a process on its own forms a quorum of one', () => {
  expect(decideInitialVoters('a/1', [], new Map())).toEqual({a: 'a/1'});
});
