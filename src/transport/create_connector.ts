import {buildConnector} from 'undici';
import {TransportError} from './transport_error';

/** Undici's own timeout, which has a resolution of whole seconds; it only frees the socket. */
const LIBRARY_TIMEOUT_MS = 5_000;

/**
 * Changes the error codes that undici treats specially. It takes a connection reset
 * after a response without a content length for the normal end of the response, and
 * reconnects for a request that was aborted. Under other codes both are plain errors:
 * a truncated response is not passed on as a complete one, and no server gets a
 * connection that nobody needs.
 */
function replaceErrorCode(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') {
    error.code = 'CONNECTION_RESET';
  } else if (error.code === 'UND_ERR_INFO' && error.message === 'aborted') {
    error.code = 'REQUEST_GIVEN_UP';
  }
}

/**
 * Creates an undici connector with a timeout in milliseconds and with every
 * connection reset reported as an error. Undici's own timers have a resolution of
 * seconds, too coarse to detect an unreachable host.
 *
 * @param timeoutMs milliseconds until a connection attempt fails
 * @returns a value for undici's `connect` option; timeouts have the code
 *     `UND_ERR_CONNECT_TIMEOUT`
 * @example
 * const agent = new Agent({connect: createConnector(300)});
 */
export function createConnector(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({timeout: LIBRARY_TIMEOUT_MS});
  return (options, callback) => {
    let isTimedOut = false;
    const timer = setTimeout(() => {
      isTimedOut = true;
      const error = new TransportError(
        'connecting timed out after %d ms',
        timeoutMs,
      );
      callback(Object.assign(error, {code: 'UND_ERR_CONNECT_TIMEOUT'}), null);
    }, timeoutMs);
    connect(options, (...result) => {
      if (isTimedOut) {
        result[1]?.destroy();
        return;
      }
      clearTimeout(timer);
      result[1]?.on('error', replaceErrorCode);
      callback(...result);
    });
  };
}
