import {expect, test} from 'vitest';
import {decideInitialVoters} from '../../src/control/decide_initial_voters';

function createResponse(
  identity: string,
  voters: Record<string, string> | null = null,
) {
  return {type: 'formation-answer', identity, voters} as const;
}

test('forms a quorum only when every other process has responded with an empty disk', () => {
  const oneResponse = new Map([['b', createResponse('b/1')]]);
  const bothResponses = new Map([...oneResponse, ['c', createResponse('c/1')]]);

  expect(decideInitialVoters('a/1', ['b', 'c'], oneResponse)).toBeUndefined();
  expect(decideInitialVoters('a/1', ['b', 'c'], bothResponses)).toEqual({
    a: 'a/1',
    b: 'b/1',
    c: 'c/1',
  });
});

test('a process with a new disk adopts an existing quorum, in which its old identity is the voter', () => {
  const voters = {a: 'a/old', b: 'b/1', c: 'c/1'};

  expect(
    decideInitialVoters(
      'a/new',
      ['b', 'c'],
      new Map([['b', createResponse('b/1', voters)]]),
    ),
  ).toEqual(voters);
});

test('a single process forms a quorum of one', () => {
  expect(decideInitialVoters('a/1', [], new Map())).toEqual({a: 'a/1'});
});
