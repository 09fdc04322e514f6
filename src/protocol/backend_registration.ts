/** What one start of a backend server says about itself, again and again. */
import {z} from 'zod';

const MAX_NAME_LENGTH = 200;

const GroupMembership = z.object({
  name: z.string(),
  epoch: z.int(),
  /** 0 is the head, which takes the group's requests. */
  rank: z.int().nonnegative(),
  state: z.enum(['joining', 'ready', 'open', 'closing', 'broken']),
});

export const BackendRegistration = z.object({
  /** New with every start. */
  incarnation: z.string().min(1).max(MAX_NAME_LENGTH),
  /** Shared by all starts of one backend server; absent where each start has a name of its own. */
  name: z.string().max(MAX_NAME_LENGTH).optional(),
  /** When it started, in milliseconds of its own clock: tells its starts apart, and may jump. */
  startedAt: z.int().optional(),
  pool: z.string(),
  /** `host:port` for requests. */
  address: z.string(),
  zone: z.string(),
  isLeaving: z.boolean(),
  /** Rises with each call, so that a late one is known. */
  sequence: z.int(),
  /** Requests that it handles at once. */
  slots: z.int().nonnegative(),
  /** Hosts of one domain share a fast fabric; absent for a plain service. */
  domain: z.string().optional(),
  /** The model in its memory. */
  model: z.string().optional(),
  /** Models whose weights lie on its host. */
  stagedModels: z.array(z.string()),
  group: GroupMembership.optional(),
});
export type BackendRegistration = z.infer<typeof BackendRegistration>;
