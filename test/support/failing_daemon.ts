/** A daemon that fails after its start, in a callback that nothing catches. */
import {EventRing} from '../../src/common/event_ring';
import {runDaemon} from '../../src/bin/run_daemon';

void runDaemon('failing-daemon', () => ({
  logFormat: 'json',
  start: () => {
    setTimeout(() => {
      throw new RangeError('the callback failed');
    }, 50);
    return Promise.resolve({
      events: EventRing.create(),
      ports: {},
      stop: () => Promise.resolve(),
    });
  },
}));
