import {z} from 'zod';

/** Handshake message: the first frame in each direction of every connection. */
export const HelloMessage = z.object({
  type: z.literal('hello'),
  protocol: z.literal(1),
  program: z.enum(['entry', 'host', 'control', 'operator', 'gateway']),
  id: z.string().max(128),
  /** Random for each start of the process. */
  incarnation: z.string().max(64),
});
export type HelloMessage = z.infer<typeof HelloMessage>;
