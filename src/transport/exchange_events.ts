import {ConnectionUse} from './connection_use';
import {ExchangeControl} from './exchange_control';

/** Callbacks for one request and its response on a connection. */
export interface ExchangeEvents {
  /** Called before the first byte is written. */
  readonly onStart: (control: ExchangeControl, use: ConnectionUse) => void;
  /** Called with the head of the response, never with an interim one. */
  readonly onHead: (
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ) => void;
  readonly onData: (chunk: Buffer) => void;
  /** The response is complete; `endsWithConnection` if it had neither a length nor chunks. */
  readonly onEnd: (endsWithConnection: boolean) => void;
  /** Called instead of `onEnd`. */
  readonly onError: (error: Error) => void;
}
