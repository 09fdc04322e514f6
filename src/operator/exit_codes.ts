/** Exit codes of `whinreel` by kind of failure. */
export const EXIT_CODES = {
  done: 0,
  /** Something failed that is nobody's input. */
  failed: 1,
  /** Wrong flags or files. */
  usage: 2,
  /** Control understood and refused. */
  refused: 3,
  /** No control leader answered. */
  unreachable: 4,
} as const;
