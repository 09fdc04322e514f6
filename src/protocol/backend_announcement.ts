/** What a backend server posts to its host process, again and again. */
import {z} from 'zod';

export const BackendAnnouncement = z.strictObject({
  kind: z.enum(['model', 'service']),
  name: z.string().min(1).max(128),
  /** Where it takes requests. */
  url: z.url({protocol: /^http$/}),
  accelerators: z.int().nonnegative().default(0),
  /** It takes no new work and is about to stop. */
  isLeaving: z.boolean().default(false),
});
export type BackendAnnouncement = z.infer<typeof BackendAnnouncement>;
