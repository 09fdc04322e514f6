import {z} from 'zod';

/** Which requests gateways must hold back, or what changed of it. */
export const SuspectUpdate = z.object({
  /** Rises with each change, whichever process leads. */
  version: z.int(),
  /** False where only what changed is told. */
  isWhole: z.boolean(),
  /** Sent on trial only. */
  suspected: z.array(z.string()),
  /** Never sent. */
  convicted: z.array(z.string()),
  /** Sent like any other again. */
  freed: z.array(z.string()),
});
export type SuspectUpdate = z.infer<typeof SuspectUpdate>;
