import {z} from 'zod';

/** Digest of caller, path and body. */
const RequestName = z.string().max(64);
/** Upper bound: more than the slots and the queue of one backend server. */
const MAX_REQUESTS = 512;

/** Longer prompts are reported with their first parts. */
const MAX_PARTS = 32;

/** The requests of one gateway that were running on a backend server when it crashed. */
export const CrashReport = z.object({
  incarnation: z.string().max(256),
  /** Requests whose response had not started. */
  notBegun: z.array(RequestName).max(MAX_REQUESTS),
  /** Parts of the prompts of the former that other requests may share. */
  parts: z
    .array(
      z.object({
        request: RequestName,
        parts: z.array(RequestName).max(MAX_PARTS),
      }),
    )
    .max(MAX_REQUESTS)
    .optional(),
  /** Requests whose response had started. */
  begun: z.array(RequestName).max(MAX_REQUESTS),
});
export type CrashReport = z.infer<typeof CrashReport>;
