const AWAY =
  'a voter that was only away was replaced, and one that was gone for good kept its vote';
const LOOKED_OPEN =
  'a voter that was gone counted as connected, and another one was replaced';

/** Seeds of disturbed recoveries that once broke a promise, each with the cause; they are played again in CI. */
export const FAILED_RECOVERY_SEEDS: ReadonlyMap<number, string> = new Map([
  [249, AWAY],
  [397, AWAY],
  [402, AWAY],
  [498, AWAY],
  [543, AWAY],
  [566, AWAY],
  [1271, 'two voters fell silent within one probe interval'],
  [1396, LOOKED_OPEN],
  [1757, LOOKED_OPEN],
]);
