import {buildConnector} from 'undici';
import {TransportError} from './transport_error';

/** The library's own limit, which counts in whole seconds; it only cleans up. */
const LIBRARY_TIMEOUT_MS = 5_000;

/**
 * The library takes a reset behind an answer without a length for its normal
 * end, and connects anew for a request that was given up. Under other codes both
 * are plain errors: a broken answer is not passed on as a whole one, and no
 * server is troubled by a connection that nobody needs.
 */
function renameError(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') {
    error.code = 'CONNECTION_RESET';
  } else if (error.code === 'UND_ERR_INFO' && error.message === 'aborted') {
    error.code = 'REQUEST_GIVEN_UP';
  }
}

/**
 * A connector with an exact limit: the library's timers count in seconds, which
 * is too coarse to notice a host that went dark; and a reset is always an error.
 *
 * @param timeoutMs milliseconds until a connection is given up
 * @returns what the library takes as `connect`; errors have the code
 *     `UND_ERR_CONNECT_TIMEOUT`
 * @example
 * const agent = new Agent({connect: createConnector(300)});
 */
export function createConnector(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({timeout: LIBRARY_TIMEOUT_MS});
  return (options, callback) => {
    let isOver = false;
    const timer = setTimeout(() => {
      isOver = true;
      const error = new TransportError('no connection in %d ms', timeoutMs);
      callback(Object.assign(error, {code: 'UND_ERR_CONNECT_TIMEOUT'}), null);
    }, timeoutMs);
    connect(options, (...result) => {
      if (isOver) {
        result[1]?.destroy();
        return;
      }
      clearTimeout(timer);
      result[1]?.on('error', renameError);
      callback(...result);
    });
  };
}
