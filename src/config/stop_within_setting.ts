import {createIntegerSetting} from './create_integer_setting';

/** Below the 30 s that process supervisors commonly wait before they send SIGKILL. */
const DEFAULT_STOP_WITHIN_MS = '25000';

/** Schema of the shutdown timeout, for daemons that finish accepted requests before they exit. */
export const stopWithinSetting = createIntegerSetting(1_000, 600_000)
  .prefault(DEFAULT_STOP_WITHIN_MS)
  .describe('how long a stop may take, in milliseconds');
