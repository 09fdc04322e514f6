import {z} from 'zod';
import {Group} from './group';
import {ZoneEvacuation} from './zone_evacuation';

/** The status that `whinreel status` prints. */
export const FleetStatus = z.object({
  leader: z.string(),
  term: z.int(),
  commitIndex: z.int(),
  voters: z.array(
    z.object({
      identity: z.string(),
      isReachable: z.boolean(),
      /** The voter has every committed log entry. */
      isCaughtUp: z.boolean(),
    }),
  ),
  /** A voter change is not committed yet. */
  isChangingVoters: z.boolean(),
  bundle: z.object({
    version: z.int(),
    digest: z.string(),
    keyId: z.string(),
    /** Number of hosts and entries that reported this version; `of` is the number of all that report. */
    inForce: z.int(),
    of: z.int(),
  }),
  groups: z.array(
    Group.extend({
      isServing: z.boolean(),
      running: z.int(),
      missing: z.array(z.string()),
    }),
  ),
  hosts: z.array(
    z.object({
      hostId: z.string(),
      zone: z.string(),
      domain: z.string(),
      backend: z.string(),
      group: z.string(),
      isLeaving: z.boolean(),
      seenMsAgo: z.number(),
      bundleVersion: z.int(),
    }),
  ),
  entries: z.array(z.object({entryId: z.string(), bundleVersion: z.int()})),
  claims: z.int(),
  /** Evacuated availability zones; leaders of older versions name none. */
  evacuations: z.array(ZoneEvacuation).default([]),
});
export type FleetStatus = z.infer<typeof FleetStatus>;
