/**
 * Finds the first quorum without any setting that says "this is the first start".
 *
 * A process with an empty disk asks every other one. When some quorum stands
 * already, it takes that quorum's word; its own new identity is then admitted
 * as a replacement. Only when *all* answer and none has a quorum do they form
 * one. So a lost disk can never vote with the identity it had before.
 */
import {FormationMessage} from '../protocol/formation_message';
import {MessageOf} from '../protocol/message_of';
import {splitIdentity} from '../protocol/split_identity';

type Answer = MessageOf<FormationMessage, 'formation-answer'>;

/**
 * Decides from the newest answers; a pure function.
 *
 * @param identity this process's identity
 * @param otherNames names of the others that form the first quorum; undefined
 *     for a process that may only join a quorum that stands
 * @param answers newest answer of each, by name
 * @returns the voters, name to identity, or undefined while it is too early
 * @example
 * const voters = formQuorum('a/1', ['b', 'c'], answers);
 */
export function decideInitialVoters(
  identity: string,
  otherNames: readonly string[] | undefined,
  answers: ReadonlyMap<string, Answer>,
): Record<string, string> | undefined {
  const standing = [...answers.values()].find(answer => answer.voters !== null);
  if (standing?.voters) {
    return standing.voters;
  }
  if (!otherNames?.every(name => answers.has(name))) {
    return undefined;
  }
  const identities = [
    identity,
    ...otherNames.flatMap(name => answers.get(name)?.identity ?? []),
  ];
  return Object.fromEntries(
    identities.map(known => [splitIdentity(known).name, known]),
  );
}
