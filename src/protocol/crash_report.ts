import {z} from 'zod';

/** Digests of caller, path and body; never longer. */
const RequestName = z.string().max(64);
/** Requests under way on one backend server are fewer than its places and its queue. */
const MAX_RUNS = 512;

/** What ran on a backend server when it ended, as one gateway saw it. */
export const CrashReport = z.object({
  incarnation: z.string().max(256),
  /** Requests of which no answer had come yet. */
  notBegun: z.array(RequestName).max(MAX_RUNS),
  /** Requests whose answers had begun. */
  begun: z.array(RequestName).max(MAX_RUNS),
});
export type CrashReport = z.infer<typeof CrashReport>;
