import {z} from 'zod';

/**
 * Whether a request under which a backend server ended may be sent once more.
 * `granted`: to the one that was named, and nowhere else at the same time. `busy`:
 * not now. `convicted`: never. `free`: nothing is held against it.
 */
export const TrialVerdict = z.enum(['granted', 'busy', 'convicted', 'free']);
export type TrialVerdict = z.infer<typeof TrialVerdict>;
