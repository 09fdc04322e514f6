import {performance} from 'node:perf_hooks';
import {Clock} from './clock';

/** The monotonic clock of this process. */
export const systemClock: Clock = {now: () => performance.now()};
