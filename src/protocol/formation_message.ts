/** Messages by which control processes without stored state form the first quorum. */
import {z} from 'zod';

const Voters = z.record(z.string(), z.string());

export const FormationMessage = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('formation-ask'),
    identity: z.string(),
    /** Availability zone of the sender, if its settings name one. */
    zone: z.string().optional(),
  }),
  z.object({
    type: z.literal('formation-answer'),
    identity: z.string(),
    /** Maps names to identities; null before the first quorum is formed. */
    voters: Voters.nullable(),
  }),
]);
export type FormationMessage = z.infer<typeof FormationMessage>;
