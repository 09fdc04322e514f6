import {z} from 'zod';
import {SuspectPart} from './suspect_part';

/** The requests that gateways must hold back because they may crash backend servers, or the changes to that list. */
export const SuspectUpdate = z.object({
  /** Increases with each change, also across leaders. */
  version: z.int(),
  /** False for an update with only the changes. */
  isWhole: z.boolean(),
  /** Requests that may be sent only as a trial. */
  suspected: z.array(z.string()),
  /** Requests that must not be sent. */
  convicted: z.array(z.string()),
  /** Parts of prompts that were present at crashes; absent from older leaders. */
  parts: z.array(SuspectPart).optional(),
  /** Requests without restrictions again, and parts that were proved harmless. */
  freed: z.array(z.string()),
});
export type SuspectUpdate = z.infer<typeof SuspectUpdate>;
