import {Timers} from './timers';

/** Timers of the Node.js event loop. */
export const systemTimers: Timers = {
  repeat(ms, callback) {
    const timer = setInterval(callback, ms);
    return () => clearInterval(timer);
  },

  delay(ms, callback) {
    const timer = setTimeout(callback, ms);
    return () => clearTimeout(timer);
  },

  defer(callback) {
    setImmediate(callback);
  },
};
