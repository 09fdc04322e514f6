const AWAY =
  'a voter that was only away was replaced, and one that was gone for good kept its vote';

/** Seeds of disturbed recoveries that once broke a promise, each with the cause; they are played again in CI. */
export const FAILED_RECOVERY_SEEDS: ReadonlyMap<number, string> = new Map([
  [249, AWAY],
  [402, AWAY],
  [498, AWAY],
  [543, AWAY],
  [
    566,
    'two voters fell silent at the same time, and the wrong one was replaced',
  ],
]);
