/** Commands of the replicated log, from which the whole state of control is derived. */
import {z} from 'zod';
import {ChannelBundle} from './channel_bundle';
import {CrashReport} from './crash_report';
import {EngineGroup} from './engine_group';
import {Group} from './group';
import {RequestOutcome} from './request_outcome';
import {SignedBundle} from './signed_bundle';

/** Wall-clock milliseconds at the leader that proposed the command. */
const Time = z.number();
const Claim = z.object({
  workspace: z.string(),
  key: z.string(),
  attemptId: z.string(),
});

export const ControlCommand = z.discriminatedUnion('type', [
  z.object({type: z.literal('start-term'), time: Time}),
  /** Makes the control process with this name and storage identity a voter. */
  z.object({
    type: z.literal('set-voter'),
    time: Time,
    name: z.string(),
    identity: z.string(),
    /** Name of the voter that is removed in the same change. */
    replaces: z.string().optional(),
  }),
  /** Marks that every earlier voter change is committed, for each process that has this entry. */
  z.object({type: z.literal('settle-voters'), time: Time}),
  /** Replaces the recorded availability zones of the voters, by identity. */
  z.object({
    type: z.literal('set-voter-zones'),
    time: Time,
    zones: z.record(z.string(), z.string()),
  }),
  z.object({
    type: z.literal('accept-channel-bundle'),
    time: Time,
    bundle: ChannelBundle,
  }),
  /** Stops new requests to a backend server that drains or is gone, permanently. */
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
  /** Begins the teardown of a group, which cannot be reverted. */
  z.object({
    type: z.literal('end-engine-group'),
    time: Time,
    name: z.string(),
    epoch: z.int(),
    reason: z.string(),
  }),
  /** Records that a member has left; every control process starts the timeout of the group's head. */
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
  /** Stops new requests to an availability zone, or allows them again. */
  z.object({
    type: z.literal('set-evacuation'),
    time: Time,
    zone: z.string(),
    isEvacuated: z.boolean(),
    requestedBy: z.string(),
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
  /** Stops new requests to a group; requests in flight continue, as the epoch stays the same. */
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
  /** Records gateway reports on requests that were running when backend servers crashed. */
  z.object({
    type: z.literal('record-suspects'),
    time: Time,
    crashes: z.array(CrashReport),
    /** Requests whose trial has ended. */
    released: z.array(z.string()),
    /** Requests that completed without a crash. */
    cleared: z.array(z.string()),
  }),
  z.object({
    type: z.literal('begin-trial'),
    time: Time,
    name: z.string(),
    incarnation: z.string(),
    /** The request, where `name` is a part of its prompt. */
    request: z.string().max(64).optional(),
    /** True for a request with a convicted part that the verdict does not cover. */
    isUncovered: z.boolean().optional(),
  }),
  /** Reverts a crash report: the backend server is alive. */
  z.object({
    type: z.literal('withdraw-crash'),
    time: Time,
    incarnation: z.string(),
  }),
  /** Lends a gateway part of the slack of a pool's retry budget. */
  z.object({
    type: z.literal('lend-retries'),
    time: Time,
    pool: z.string(),
    wanted: z.int().positive(),
    /** Retries of the pool that may be lent at a time. */
    slack: z.number().nonnegative(),
    /** Log indexes of earlier loans that no longer count. */
    returned: z.array(z.int()),
  }),
  /** Lets a convicted request run again, by order of an operator. */
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
