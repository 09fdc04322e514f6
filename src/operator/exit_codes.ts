/** Exit codes of `whinreel`, by the kind of failure that an `OperatorError` carries. */
export const EXIT_CODES = {
  done: 0,
  /** A failure that the user's input did not cause. */
  failed: 1,
  /** Invalid flags or files. */
  usage: 2,
  /** Control received the call and refused it. */
  refused: 3,
  /** No control leader answered in time. */
  unreachable: 4,
} as const;
