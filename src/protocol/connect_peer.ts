import {ServerAddress} from '../common/server_address';
import {FrameConnection} from '../transport/frame_connection';
import {TlsCredentials} from '../transport/tls_credentials';
import {Peer} from './peer';

/**
 * Connects to another process and completes the handshake.
 *
 * @param timeoutMs milliseconds for the connection and the handshake together
 * @throws TransportError when the connection or the handshake fails
 * @example
 * const peer = await connectPeer(ServerAddress.parse('127.0.0.1:7000'), {program: 'entry', id: 'e1', incarnation});
 */
export async function connectPeer(
  address: ServerAddress,
  identity: Parameters<typeof Peer.create>[1],
  security?: TlsCredentials,
  timeoutMs?: number,
): Promise<Peer> {
  const startedAt = performance.now();
  const connection = await FrameConnection.connect({
    address,
    security,
    timeoutMs,
  });
  const remainingMs =
    timeoutMs === undefined
      ? undefined
      : Math.max(1, timeoutMs - (performance.now() - startedAt));
  return Peer.create(connection, identity, remainingMs);
}
