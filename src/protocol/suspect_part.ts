import {z} from 'zod';

/** A part of a prompt that was present when backend servers crashed. */
export const SuspectPart = z.object({
  name: z.string(),
  /** `watched`: not restricted; `suspected`: sent only as a trial; `convicted`: not sent in its scope, and as a trial beyond. */
  standing: z.enum(['watched', 'suspected', 'convicted']),
  /** A verdict covers only requests that also hold all of these parts. */
  companions: z.array(z.string()),
  /** Digest of the only caller whose requests a verdict covers; absent for all. */
  caller: z.string().optional(),
});
export type SuspectPart = z.infer<typeof SuspectPart>;
