import {ClaimVerdict} from '../protocol/claim_verdict';
import {TrialVerdict} from '../protocol/trial_verdict';

/** What applying a command to the tables led to. */
export interface CommandResult {
  readonly isAccepted: boolean;
  readonly reason: string;
  /** For roll-outs: the bundle that stands. */
  readonly bundle?: {
    readonly version: number;
    readonly digest: string;
    readonly keyId: string;
  };
  /** For claims. */
  readonly verdict?: ClaimVerdict;
  /** For trials of suspected requests. */
  readonly trial?: TrialVerdict;
}
