/** Commands of the replicated log. Every table of control is derived from them. */
import {z} from 'zod';
import {ChannelBundle} from './channel_bundle';
import {CrashReport} from './crash_report';
import {EngineGroup} from './engine_group';
import {Group} from './group';
import {RequestOutcome} from './request_outcome';
import {SignedBundle} from './signed_bundle';

/** Wall-clock milliseconds at the leader that proposed it. */
const Time = z.number();
const Claim = z.object({
  workspace: z.string(),
  key: z.string(),
  attemptId: z.string(),
});

export const ControlCommand = z.discriminatedUnion('type', [
  z.object({type: z.literal('start-term'), time: Time}),
  /** A control process with this name now keeps its state under this identity. */
  z.object({
    type: z.literal('set-voter'),
    time: Time,
    name: z.string(),
    identity: z.string(),
    /** Name of a voter that goes in the same step. */
    replaces: z.string().optional(),
  }),
  /** Every change of voters before it is committed: whoever holds this knows so. */
  z.object({type: z.literal('settle-voters'), time: Time}),
  z.object({
    type: z.literal('accept-channel-bundle'),
    time: Time,
    bundle: ChannelBundle,
  }),
  /** A backend server drains or is gone: it takes no new work, for good. */
  z.object({
    type: z.literal('retire-backend'),
    time: Time,
    incarnation: z.string(),
    reason: z.string(),
  }),
  z.object({
    type: z.literal('set-engine-group'),
    time: Time,
    group: EngineGroup,
    reason: z.string(),
  }),
  /** From now on the group is only taken apart. */
  z.object({
    type: z.literal('end-engine-group'),
    time: Time,
    name: z.string(),
    epoch: z.int(),
    reason: z.string(),
  }),
  /** A member has left: every control process starts to count the head's time. */
  z.object({
    type: z.literal('release-engine-group'),
    time: Time,
    name: z.string(),
    epoch: z.int(),
    reason: z.string(),
  }),
  z.object({
    type: z.literal('remove-engine-group'),
    time: Time,
    name: z.string(),
    epoch: z.int(),
    reason: z.string(),
  }),
  z.object({type: z.literal('roll-out'), time: Time, bundle: SignedBundle}),
  z.object({
    type: z.literal('set-group'),
    time: Time,
    group: Group,
    reason: z.string(),
  }),
  z.object({
    type: z.literal('remove-group'),
    time: Time,
    groupId: z.string(),
    epoch: z.int(),
    reason: z.string(),
  }),
  /** Stops new work on a group without touching what is in flight: the epoch stays. */
  z.object({
    type: z.literal('drain-group'),
    time: Time,
    groupId: z.string(),
    epoch: z.int(),
    reason: z.string(),
  }),
  z.object({
    type: z.literal('drain-host'),
    time: Time,
    hostId: z.string(),
    isDraining: z.boolean(),
    keyId: z.string(),
  }),
  /** What gateways saw of requests under which backend servers ended. */
  z.object({
    type: z.literal('record-suspects'),
    time: Time,
    crashes: z.array(CrashReport),
    /** Their trials are over. */
    released: z.array(z.string()),
    /** They ran to their end. */
    cleared: z.array(z.string()),
  }),
  z.object({
    type: z.literal('begin-trial'),
    time: Time,
    name: z.string(),
    incarnation: z.string(),
  }),
  /** A backend server that was taken for ended lives. */
  z.object({
    type: z.literal('withdraw-crash'),
    time: Time,
    incarnation: z.string(),
  }),
  /** An operator lets a convicted request run again. */
  z.object({
    type: z.literal('lift-verdict'),
    time: Time,
    name: z.string(),
    keyId: z.string(),
  }),
  Claim.extend({
    type: z.literal('claim'),
    time: Time,
    digest: z.string(),
    groupId: z.string(),
    epoch: z.int(),
    hostId: z.string(),
    incarnation: z.string(),
    address: z.string(),
  }),
  Claim.extend({
    type: z.literal('resolve-claim'),
    time: Time,
    outcome: RequestOutcome,
  }),
]);
export type ControlCommand = z.infer<typeof ControlCommand>;
