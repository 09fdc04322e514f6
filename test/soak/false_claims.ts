/** What only late copies state of their backend server; no other answer has these figures. */
interface FalseClaim {
  readonly what: string;
  readonly header: string;
  /** How a process logs that it believes it. */
  readonly logged: RegExp;
}

/** A limit, a rest and a departure. */
export const falseClaims: readonly FalseClaim[] = [
  {
    what: 'a limit',
    header: 'server-limit: 0.37\r\n',
    logged: /"event":"limit-(named|changed)".*\b0\.37\b/,
  },
  {
    what: 'a rest',
    header: 'retry-after: 41\r\n',
    logged: /"event":"rest-asked".*"restMs":41000\b/,
  },
  {
    what: 'a departure',
    header: 'server-leaving: 1\r\n',
    logged: /"event":"backend-leaving"/,
  },
];
