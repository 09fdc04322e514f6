import {QuorumStatus} from '../protocol/quorum_status';
import {formatTable} from './format_table';
import {QuorumView} from './quorum_view';

/**
 * Formats the views of all control processes on a quorum without a leader.
 *
 * @example
 * process.stdout.write(formatQuorum(views));
 */
export function formatQuorum(views: readonly QuorumView[]): string {
  const answered = views.flatMap(({status}) => status ?? []);
  return [
    formatTable(
      ['CONTROL', 'ROLE', 'TERM', 'LAST ENTRY', 'COMMITTED', 'SAYS'],
      views.map(({address, status, failure = ''}) =>
        status
          ? [
              status.identity,
              status.role,
              String(status.term),
              `${status.lastIndex} of term ${status.lastTerm}`,
              String(status.commitIndex),
              status.explanation,
            ]
          : [
              address.toString(),
              '-',
              '-',
              '-',
              '-',
              `not reachable: ${failure}`,
            ],
      ),
    ),
    '\n',
    formatTable(
      ['FROM', 'TO', 'CONNECTION', 'VOTE'],
      answered.flatMap(({identity, peers}) =>
        peers.map(peer => [
          identity,
          peer.identity,
          describeConnection(peer),
          describeVote(peer),
        ]),
      ),
    ),
  ].join('');
}

type PeerStatus = QuorumStatus['peers'][number];

function describeConnection({
  isReachable,
  sinceMs,
  failure = 'not connected yet',
}: PeerStatus): string {
  return isReachable
    ? `open for ${sinceMs} ms`
    : `lost for ${sinceMs} ms: ${failure}`;
}

function describeVote({vote, voteAgeMs}: PeerStatus): string {
  return vote === undefined ? 'no answer' : `${vote}, ${voteAgeMs} ms ago`;
}
