import {Timers} from './timers';

/** The timers of this process. */
export const systemTimers: Timers = {
  every(ms, act) {
    const timer = setInterval(act, ms);
    return () => clearInterval(timer);
  },

  after(ms, act) {
    const timer = setTimeout(act, ms);
    return () => clearTimeout(timer);
  },

  soon(act) {
    setImmediate(act);
  },
};
