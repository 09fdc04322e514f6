/** The changes that a simulated operator sends. */
import {ChannelBundle} from '../../src/protocol/channel_bundle';
import {CHANNEL} from './virtual_machine';

const LIMITS = {
  maxHeaderBytes: 1,
  maxBodyBytes: 1,
  headerTimeoutMs: 1,
  idleTimeoutMs: 1,
};

/** The change with this version; always the same, so that what is held can be compared. */
export function createBundle(version: number): ChannelBundle {
  return {
    channel: CHANNEL,
    // Some are large, so that snapshots and messages have something to carry.
    source: `${version}`.padEnd(version % 7 === 0 ? 30_000 : 20, '.'),
    rules: {version, routes: [], pools: [], limits: LIMITS},
  };
}
