import {ConnectionUse} from './connection_use';
import {ExchangeControl} from './exchange_control';

/** Callbacks for one request and its response on a connection. */
export interface ExchangeEvents {
  /** Called before the first byte is written. */
  readonly onStart: (control: ExchangeControl, use: ConnectionUse) => void;
  /** Called with the head of the response, never with an interim one; `endsWithConnection` if it has neither a length nor chunks. */
  readonly onHead: (
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    endsWithConnection: boolean,
  ) => void;
  readonly onData: (chunk: Buffer) => void;
  /** The response is complete. */
  readonly onEnd: () => void;
  /** Called instead of `onEnd`. */
  readonly onError: (error: Error) => void;
}
