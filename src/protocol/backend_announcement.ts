/** Body of the announcement that a backend server posts periodically to its host process. */
import {z} from 'zod';
import {ServerAddress} from '../common/server_address';

export const BackendAnnouncement = z.strictObject({
  kind: z.enum(['model', 'service']),
  name: z.string().min(1).max(128),
  /** Base URL for requests. */
  url: z.url({protocol: /^http$/}).superRefine((url, context) => {
    try {
      ServerAddress.parseUrl(url);
    } catch (error) {
      context.addIssue((error as Error).message);
    }
  }),
  accelerators: z.int().nonnegative().default(0),
  /** The server accepts no new requests and is about to stop. */
  isLeaving: z.boolean().default(false),
});
export type BackendAnnouncement = z.infer<typeof BackendAnnouncement>;
