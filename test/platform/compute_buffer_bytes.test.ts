// Guards against buffers that take a process over the memory of its machine when its heap is full, too.
import {expect, test} from 'vitest';
import {computeResponseMemoryBytes} from '../../src/gateway/responses/compute_response_memory_bytes';
import {BodyBudget} from '../../src/transport/body_budget';
import {computeBufferBytes} from '../../platform/compute_buffer_bytes';

const MIB = 1024 * 1024;

test('buffers have what the heap and the program leave of the memory', () => {
  const limits = {memory_mb: 350};
  expect(computeBufferBytes({limits}, 208 * MIB)).toBe(94 * MIB);
  // A heap that may take everything.
  expect(computeBufferBytes({limits}, 4_096 * MIB)).toBe(87.5 * MIB);
  expect(computeBufferBytes({}, 208 * MIB)).toBeUndefined();
  expect(computeBufferBytes({limits: {}}, 208 * MIB)).toBeUndefined();
});

test.each([
  {role: 'entry', heapMb: 208},
  {role: 'control', heapMb: 248},
])(
  'the heap, the bodies and the responses of $role fit into the memory together',
  ({heapMb}) => {
    const memoryMb = 350;
    const limits = {memory_mb: memoryMb};
    const bufferBytes = computeBufferBytes({limits}, heapMb * MIB);
    const bodies = BodyBudget.computeBytes(bufferBytes);
    const responses = computeResponseMemoryBytes(
      undefined,
      undefined,
      bufferBytes,
    );
    const joined = 8 * MIB;
    // A control process holds no responses of backend servers.
    const held = heapMb === 208 ? bodies + responses : bodies;
    expect(heapMb * MIB + held + joined).toBeLessThan((memoryMb - 48) * MIB);
  },
);
