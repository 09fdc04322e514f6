import {ClaimVerdict} from '../protocol/claim_verdict';
import {TrialVerdict} from '../protocol/trial_verdict';

/** The result of applying a command to the replicated tables. */
export interface CommandResult {
  readonly isAccepted: boolean;
  readonly reason: string;
  /** For roll-outs: the bundle in force. */
  readonly bundle?: {
    readonly version: number;
    readonly digest: string;
    readonly keyId: string;
  };
  /** For claims. */
  readonly verdict?: ClaimVerdict;
  /** For loans: the number of retries lent. */
  readonly lent?: number;
  /** For trials of suspected requests. */
  readonly trial?: TrialVerdict;
}
