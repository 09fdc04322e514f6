/** A change of a verdict, to be recorded in the journal. */
export interface VerdictChange {
  /** The request, or the part of prompts. */
  readonly name: string;
  readonly type:
    'request-convicted' | 'request-doubted-again' | 'verdict-lifted';
  readonly reason: string;
}
