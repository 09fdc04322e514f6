import {Timers} from './timers';

/** The timers of this process. */
export const systemTimers: Timers = {
  repeat(ms, act) {
    const timer = setInterval(act, ms);
    return () => clearInterval(timer);
  },

  delay(ms, act) {
    const timer = setTimeout(act, ms);
    return () => clearTimeout(timer);
  },

  defer(act) {
    setImmediate(act);
  },
};
