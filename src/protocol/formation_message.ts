/** Messages by which control processes with empty disks find each other. */
import {z} from 'zod';

const Voters = z.record(z.string(), z.string());

export const FormationMessage = z.discriminatedUnion('type', [
  z.object({type: z.literal('formation-ask'), identity: z.string()}),
  z.object({
    type: z.literal('formation-answer'),
    identity: z.string(),
    /** Name to identity, once the first quorum stands; else null. */
    voters: Voters.nullable(),
  }),
]);
export type FormationMessage = z.infer<typeof FormationMessage>;
