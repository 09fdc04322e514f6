import {RequestOutcome} from '../protocol/request_outcome';

/** Callbacks for the response to one attempt, in the order in which it arrives. */
export interface AttemptCallbacks {
  readonly onHead: (
    status: number,
    headers: Readonly<Record<string, string>>,
  ) => void;
  /** Call `returnCredit` once the bytes are written; the host may then send more. */
  readonly onData: (bytes: Uint8Array, returnCredit: () => void) => void;
  /** Called exactly once, after all others. */
  readonly onEnd: (end: AttemptOutcome) => void;
}

/** How an attempt ended, as far as the entry knows. */
interface AttemptOutcome {
  readonly outcome: RequestOutcome;
  readonly reason: string;
  readonly retryAfterMs?: number;
  /** The connection was lost; the host process may still know the outcome. */
  readonly isConnectionLost?: boolean;
}
