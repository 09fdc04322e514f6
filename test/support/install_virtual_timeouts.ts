import {VirtualTime} from '../simulation/virtual_time';

/**
 * Replaces `setTimeout` and `clearTimeout` by timers on virtual time.
 *
 * @returns restores the timers of the process
 */
export function installVirtualTimeouts(time: VirtualTime): () => void {
  const {setTimeout: set, clearTimeout: clear} = globalThis;
  const cleared = new WeakSet<object>();
  const setVirtual = (act: () => void, ms = 0) => {
    const timer = {};
    time.after(ms, () => (cleared.has(timer) ? undefined : act()));
    return timer;
  };
  globalThis.setTimeout = setVirtual as unknown as typeof set;
  globalThis.clearTimeout = ((timer: object | undefined) =>
    timer && cleared.add(timer)) as typeof clear;
  return () => {
    globalThis.setTimeout = set;
    globalThis.clearTimeout = clear;
  };
}
