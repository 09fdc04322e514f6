import {createIntegerSetting} from './create_integer_setting';

/** Below the 30 s that supervisors commonly wait before they kill. */
const DEFAULT_STOP_WITHIN_MS = '25000';

/** How long a stop may take, for programs that finish what they took. */
export const stopWithinSetting = createIntegerSetting(1_000, 600_000)
  .prefault(DEFAULT_STOP_WITHIN_MS)
  .describe('how long a stop may take, in milliseconds');
