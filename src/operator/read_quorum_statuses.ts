import {ControlConnection} from '../protocol/control_connection';
import {QuorumStatus} from '../protocol/quorum_status';
import {QuorumView} from './quorum_view';

/** One round trip takes milliseconds; a process that is slower is as good as not reachable. */
const TIMEOUT_MS = 900;

/**
 * Asks all control processes at once how they see the quorum; needs no leader.
 *
 * @param options addresses to ask, and the identity and security of each connection
 * @returns one view for each address, within a second
 * @example
 * const views = await readQuorumStatuses({addresses: ['127.0.0.1:7000'], identity});
 */
export function readQuorumStatuses({
  addresses,
  ...options
}: Omit<Parameters<typeof ControlConnection.create>[0], 'address'> & {
  readonly addresses: readonly string[];
}): Promise<QuorumView[]> {
  return Promise.all(
    addresses.map(async address => {
      const connection = ControlConnection.create({...options, address});
      // Closing the connection ends both the handshake and the call.
      const timer = setTimeout(() => connection.close(), TIMEOUT_MS);
      try {
        return {address, status: await readStatus(connection)};
      } catch (error) {
        return {address, failure: (error as Error).message};
      } finally {
        clearTimeout(timer);
        connection.close();
      }
    }),
  );
}

async function readStatus(
  connection: ControlConnection,
): Promise<QuorumStatus> {
  await connection.ready;
  const answer = await connection.call({type: 'quorum-ask'});
  if (answer?.type !== 'quorum-answer') {
    throw new Error('no answer in time');
  }
  return QuorumStatus.parse(answer.status);
}
