/**
 * Quorum bootstrap that needs no setting for the first start.
 *
 * A process with an empty disk queries all others. If any of them knows an existing
 * quorum, the process adopts its voters and is later admitted as a replacement under
 * its own new identity. A new quorum is formed only if *all* others respond and none
 * knows a quorum. A process that lost its disk can therefore never vote under its
 * previous identity.
 */
import {FormationMessage} from '../protocol/formation_message';
import {MessageOf} from '../protocol/message_of';
import {splitIdentity} from '../protocol/split_identity';

type FormationResponse = MessageOf<FormationMessage, 'formation-answer'>;

/**
 * Decides the initial voters from the latest responses. A pure function.
 *
 * @param identity identity of this process
 * @param otherNames names of the other founding processes; undefined for a process
 *     that may only join an existing quorum
 * @param responses latest response of each process, by name
 * @returns the voters, identity by name, or undefined while they cannot be decided yet
 * @example
 * const voters = decideInitialVoters('a/1', ['b', 'c'], responses);
 */
export function decideInitialVoters(
  identity: string,
  otherNames: readonly string[] | undefined,
  responses: ReadonlyMap<string, FormationResponse>,
): Record<string, string> | undefined {
  const existing = [...responses.values()].find(
    response => response.voters !== null,
  );
  if (existing?.voters) {
    return existing.voters;
  }
  if (!otherNames?.every(name => responses.has(name))) {
    return undefined;
  }
  const identities = [
    identity,
    ...otherNames.flatMap(name => responses.get(name)?.identity ?? []),
  ];
  return Object.fromEntries(
    identities.map(known => [splitIdentity(known).name, known]),
  );
}
