import {Outcome} from '../protocol/outcome';

/** What becomes of one attempt, told step by step to whoever started it. */
export interface AttemptCallbacks {
  readonly onHead: (
    status: number,
    headers: Readonly<Record<string, string>>,
  ) => void;
  /** Return the call that gives the credit back once the bytes are written. */
  readonly onData: (bytes: Uint8Array, giveBack: () => void) => void;
  /** Told once, as the last thing. */
  readonly onEnd: (end: AttemptEnd) => void;
}

/** How an attempt ended for the entry. */
interface AttemptEnd {
  readonly outcome: Outcome;
  readonly reason: string;
  readonly retryAfterMs?: number;
  /** The connection went away, so the host process may know more. */
  readonly isConnectionLost?: boolean;
}
