import {ServerAddress} from '../common/server_address';
import {systemTimers} from '../common/system_timers';
import {waitFor} from '../common/wait_for';
import {ControlConnection} from '../protocol/control_connection';
import {ProtocolError} from '../protocol/protocol_error';
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
 * const views = await readQuorumStatuses({addresses: [ServerAddress.parse('127.0.0.1:7000')], identity});
 */
export function readQuorumStatuses({
  addresses,
  ...options
}: Omit<Parameters<typeof ControlConnection.create>[0], 'address'> & {
  readonly addresses: readonly ServerAddress[];
}): Promise<QuorumView[]> {
  return Promise.all(
    addresses.map(async address => {
      const connection = ControlConnection.create({...options, address});
      try {
        return {address, status: await readStatus(connection)};
      } catch (error) {
        return {address, failure: (error as Error).message};
      } finally {
        connection.close();
      }
    }),
  );
}

/** The handshake has a longer timeout of its own, so the whole call is bounded here. */
async function readStatus(
  connection: ControlConnection,
): Promise<QuorumStatus> {
  const call = connection.ready.then(() =>
    connection.call({type: 'quorum-ask'}),
  );
  const answer = await Promise.race([
    call,
    waitFor(systemTimers, TIMEOUT_MS).then(() => undefined),
  ]);
  if (answer?.type !== 'quorum-answer') {
    throw new ProtocolError('no answer in time');
  }
  return QuorumStatus.parse(answer.status);
}
