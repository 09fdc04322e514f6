/** Creates requests for the queue of a gateway; by default they find no free slot. */
import {QueuedRequest} from '../../src/gateway/scheduling/queued_request';

export function createQueuedRequest(
  changes: Partial<QueuedRequest> = {},
): QueuedRequest {
  return {
    urgency: 0,
    workspace: 'w',
    workMs: 10,
    latestStartAt: Infinity,
    expiresAt: Infinity,
    findTarget: () => undefined,
    send: () => undefined,
    ...changes,
  };
}
