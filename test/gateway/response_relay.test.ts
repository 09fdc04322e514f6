// Guards against work for each event of a read that delays the answers of other callers.
import {expect, test} from 'vitest';
import {FaultBoundary} from '../../src/common/fault_boundary';
import {systemClock} from '../../src/common/system_clock';
import {ResponseMemory} from '../../src/gateway/responses/response_memory';
import {ResponseRelay} from '../../src/gateway/responses/response_relay';
import {ResponseWriter} from '../../src/gateway/responses/response_writer';

const HEAD = {
  status: 200,
  headers: {},
  isSealed: true,
  isNotRun: false,
  isWrongIncarnation: false,
  isEventStream: true,
};

/** Creates a relay to a caller whose writes are noted. */
function start() {
  const writes: string[] = [];
  const forwarded: number[] = [];
  const response = {
    hasSentHead: false,
    isDisconnected: false,
    sendHead: () => undefined,
    write: (bytes: Buffer) => writes.push(bytes.toString()) > 0,
  };
  const relay = ResponseRelay.create({
    boundary: FaultBoundary.create(fault => {
      throw fault;
    }),
    clock: systemClock,
    response: response as unknown as ResponseWriter,
    memory: ResponseMemory.create(1024 * 1024),
    canEvict: () => true,
    onEvicted: () => undefined,
    lastEventId: undefined,
    onForwarded: count => forwarded.push(count),
  });
  relay.acceptHead(HEAD);
  return {relay, writes, forwarded};
}

// Each of them was a write, and one read of 64 KiB can hold 21,845 short events.
test('the events of one read are written together, and each of them counts', () => {
  const {relay, writes, forwarded} = start();
  relay.acceptData(
    Buffer.from(`id: 1\n\nid: 2\n\n${':\n\n'.repeat(5_000)}id: 3`),
  );
  expect(writes).toEqual([`id: 1\n\nid: 2\n\n${':\n\n'.repeat(5_000)}`]);
  expect(forwarded).toEqual([5_002]);
  expect(relay.lastEventId).toBe('2');
  expect(relay.hasPartialEvent).toBe(true);
});

test('a read that completes no event writes nothing', () => {
  const {relay, writes, forwarded} = start();
  relay.acceptData(Buffer.from('id: 1\n'));
  expect([writes, forwarded]).toEqual([[], []]);
  relay.acceptData(Buffer.from('\n'));
  expect([writes, forwarded]).toEqual([['id: 1\n\n'], [1]]);
});

test('empty lines are passed on as they come, and count as no event', () => {
  const {relay, writes, forwarded} = start();
  relay.acceptData(Buffer.from('id: 1\r\n\r'));
  relay.acceptData(Buffer.from('\n'));
  relay.acceptData(Buffer.from('\r\n'));
  expect(writes).toEqual(['id: 1\r\n\r', '\n', '\r\n']);
  expect(forwarded).toEqual([1, 0, 0]);
  expect(relay.hasPartialEvent).toBe(false);
});
