import {z} from 'zod';

/**
 * Whether a request that was running when a backend server crashed may be sent again.
 * `granted`: only to the named backend server, with no other trial at the same time.
 * `busy`: not now. `convicted`: never. `free`: without restrictions.
 */
export const TrialVerdict = z.enum(['granted', 'busy', 'convicted', 'free']);
export type TrialVerdict = z.infer<typeof TrialVerdict>;
