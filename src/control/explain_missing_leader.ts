import {QuorumStatus} from '../protocol/quorum_status';

type Situation = Omit<QuorumStatus, 'explanation'>;

/** Writes that take longer delay an election noticeably. */
const SLOW_WRITE_MS = 500;

/**
 * Explains in one sentence why there is no leader, from what one process knows.
 *
 * @example
 * const explanation = explainMissingLeader(situation);
 */
export function explainMissingLeader(situation: Situation): string {
  const {identity, voterSets, peers, writePendingMs} = situation;
  if (voterSets.length === 0) {
    const answering = peers.filter(({isReachable}) => isReachable).length;
    return `no leader: this process has an empty disk and knows no quorum, ${answering} of ${peers.length} other processes reachable`;
  }
  const isReachable = (voter: string) =>
    voter === identity ||
    peers.some(peer => peer.identity === voter && peer.isReachable);
  const counts = voterSets.map(voters => {
    const reachable = voters.filter(isReachable).length;
    const needed = Math.floor(voters.length / 2) + 1;
    return `${reachable} of ${voters.length} voters reachable, ${needed} needed`;
  });
  const hasVote = voterSets.some(voters => voters.includes(identity));
  // Without a vote it hears of a leader only when that leader admits it.
  const fact = hasVote
    ? 'no leader'
    : 'this process has no vote and no leader has contacted it';
  const parts = [`${fact}: ${counts.join('; and ')}`];
  const refusals = peers.filter(
    ({vote, isReachable: answers}) =>
      answers && vote !== undefined && vote !== 'granted',
  );
  if (refusals.length > 0) {
    parts.push(`${refusals.length} refused their vote`);
  }
  if (writePendingMs > SLOW_WRITE_MS) {
    parts.push(`a disk write takes ${Math.round(writePendingMs)} ms`);
  }
  return parts.join('; ');
}
