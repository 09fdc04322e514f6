const AWAY =
  'a voter that was only away was replaced, and one that was gone for good kept its vote';
const LOOKED_OPEN =
  'a voter that was gone counted as connected, and another one was replaced';
const SAME_TIME = 'two voters fell silent within one probe interval';

/** Seeds of disturbed recoveries that once broke a promise, each with the cause; they are played again in CI. */
export const FAILED_RECOVERY_SEEDS: ReadonlyMap<number, string> = new Map([
  [249, AWAY],
  [397, AWAY],
  [402, AWAY],
  [498, AWAY],
  [543, AWAY],
  [566, AWAY],
  [1271, SAME_TIME],
  [1396, LOOKED_OPEN],
  [1757, LOOKED_OPEN],
  [700920, SAME_TIME],
  [701010, SAME_TIME],
  [701313, SAME_TIME],
  [701362, SAME_TIME],
  [800103, 'a connected voter counted as the successor of a silent one'],
  [804679, 'no vote was moved while two voters of one zone were silent'],
]);
