/**
 * Messages between an entry and the host process that runs its requests.
 *
 * `stream` numbers one attempt on one connection; `sequence` numbers its data
 * frames from 0, and `end` carries their count, so that a gap is detected.
 */
import {z} from 'zod';
import {RequestOutcome} from './request_outcome';

const Stream = z.int().nonnegative();
const AttemptId = z.string().max(128);
const Headers = z.record(z.string(), z.string());
const Bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array);

export const RequestMessage = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('dispatch'),
    stream: Stream,
    /** Globally unique ID of one attempt at one request. */
    attemptId: AttemptId,
    groupId: z.string().max(128),
    epoch: z.int().positive(),
    /** The host process that the request is for; any other rejects it. */
    incarnation: z.string().max(64),
    /** Milliseconds on the receiver's clock after which the request must not start. */
    startBy: z.number(),
    /** Flow control: response bytes that may be sent before more credit arrives. */
    credit: z.int().positive(),
    method: z.string().max(16),
    path: z.string().max(8192),
    headers: Headers,
    body: Bytes,
    isRepeatable: z.boolean(),
    priority: z.int(),
  }),
  z.object({
    type: z.literal('clock'),
    incarnation: z.string().max(64),
    /** The sender's monotonic clock in milliseconds. */
    now: z.number(),
    running: z.int().nonnegative(),
  }),
  z.object({
    type: z.literal('head'),
    stream: Stream,
    status: z.int(),
    headers: Headers,
  }),
  z.object({
    type: z.literal('data'),
    stream: Stream,
    sequence: z.int(),
    bytes: Bytes,
  }),
  z.object({
    type: z.literal('end'),
    stream: Stream,
    frames: z.int().nonnegative(),
    outcome: RequestOutcome,
    reason: z.string(),
  }),
  z.object({
    type: z.literal('refused'),
    stream: Stream,
    reason: z.string(),
    retryAfterMs: z.number().nonnegative(),
  }),
  z.object({type: z.literal('cancel'), stream: Stream}),
  z.object({
    type: z.literal('credit'),
    stream: Stream,
    bytes: z.int().positive(),
  }),
  z.object({
    type: z.literal('tombstone-ask'),
    attemptId: AttemptId,
  }),
  z.object({
    type: z.literal('tombstone-answer'),
    attemptId: AttemptId,
    /** `never-started` also guarantees that the attempt will never start. */
    verdict: z.enum(['never-started', 'running', 'ended', 'forgotten']),
    outcome: RequestOutcome.optional(),
  }),
]);
export type RequestMessage = z.infer<typeof RequestMessage>;
