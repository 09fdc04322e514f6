/** Runners and fake hosts that close after the test, and the frames that the hosts send. */
import {afterEach} from 'vitest';
import {CallerRequest} from '../../src/entry/caller_request';
import {RequestMessage} from '../../src/protocol/request_message';
import {FakeHost} from './fake_host';
import {startEntryRunner} from './start_entry_runner';

/** The headers of an event stream. */
export const EVENT_STREAM = {'content-type': 'text/event-stream'};
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** Starts a runner that ends with the test. */
export async function startRunner(
  ...args: Parameters<typeof startEntryRunner>
): ReturnType<typeof startEntryRunner> {
  const runner = await startEntryRunner(...args);
  closers.push(runner.close);
  return runner;
}

/** Runs one request on the given hosts, which are its only replicas. */
export async function sendRequest(
  hosts: readonly FakeHost[],
  changes: Partial<CallerRequest> = {},
) {
  const {send} = await startRunner(hosts);
  return send(changes);
}

/** Starts a fake host that ends with the test. */
export async function createHost(
  ...args: Parameters<typeof FakeHost.create>
): Promise<FakeHost> {
  const host = await FakeHost.create(...args);
  closers.push(() => host.close());
  return host;
}

/** A frame with one event. */
export function createDataFrame(
  stream: number,
  sequence: number,
  text: string,
): RequestMessage {
  return {
    type: 'data',
    stream,
    sequence,
    bytes: Buffer.from(`data: ${text}\n\n`),
  };
}

/** The last frame of a whole response. */
export function createEndFrame(stream: number, frames: number): RequestMessage {
  return {type: 'end', stream, frames, outcome: 'answered', reason: ''};
}
