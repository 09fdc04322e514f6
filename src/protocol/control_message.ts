/** Calls to the control leader and their answers, correlated by `call`. */
import {z} from 'zod';
import {BackendRegistration} from './backend_registration';
import {ChannelBundle} from './channel_bundle';
import {ClaimVerdict} from './claim_verdict';
import {ColdServerReport} from './cold_server_report';
import {CrashReport} from './crash_report';
import {GatewayPoll} from './gateway_poll';
import {Group} from './group';
import {HostReport} from './host_report';
import {RateLimitReport} from './rate_limit_report';
import {RequestOutcome} from './request_outcome';
import {PermitVerdict} from './permit_verdict';
import {SignedBundle} from './signed_bundle';
import {TrialVerdict} from './trial_verdict';

const Call = z.int().nonnegative();

export const ControlMessage = z.discriminatedUnion('type', [
  z.object({type: z.literal('host-report'), call: Call, report: HostReport}),
  z.object({
    type: z.literal('host-directive'),
    call: Call,
    /** Lease to accept new requests, from the time at which the receiver sent its report. */
    leaseMs: z.number(),
    bundleVersion: z.int(),
    /** Present when the caller reported another version. */
    bundle: SignedBundle.optional(),
    /** Null for no group; absent when unchanged since the last answer. */
    group: Group.nullable().optional(),
    /** The model that an engine without a group should preload. */
    standby: z.string().nullable(),
  }),
  z.object({
    type: z.literal('entry-report'),
    call: Call,
    entryId: z.string().max(128),
    bundleVersion: z.int().nonnegative(),
    /** Version of the entry's routing table; 0 for none. */
    tableVersion: z.int().nonnegative(),
  }),
  z.object({
    type: z.literal('entry-directive'),
    call: Call,
    leaseMs: z.number(),
    bundleVersion: z.int(),
    bundle: SignedBundle.optional(),
    tableVersion: z.int(),
    groups: z.array(Group).optional(),
    entries: z.int().positive(),
  }),
  z.object({
    type: z.literal('claim-ask'),
    call: Call,
    claim: z.object({
      workspace: z.string(),
      key: z.string().max(256),
      attemptId: z.string(),
      digest: z.string(),
      groupId: z.string(),
      epoch: z.int(),
      hostId: z.string(),
      incarnation: z.string(),
      address: z.string(),
    }),
  }),
  z.object({
    type: z.literal('claim-answer'),
    call: Call,
    verdict: ClaimVerdict,
  }),
  z.object({
    type: z.literal('claim-resolve'),
    call: Call,
    workspace: z.string(),
    key: z.string(),
    attemptId: z.string(),
    outcome: RequestOutcome,
  }),
  z.object({type: z.literal('claim-resolved'), call: Call}),
  z.object({type: z.literal('roll-out-ask'), call: Call, bundle: SignedBundle}),
  z.object({
    type: z.literal('roll-out-answer'),
    call: Call,
    isAccepted: z.boolean(),
    version: z.int(),
    digest: z.string(),
    keyId: z.string(),
    reason: z.string(),
  }),
  z.object({type: z.literal('status-ask'), call: Call}),
  z.object({type: z.literal('status-answer'), call: Call, status: z.unknown()}),
  z.object({
    type: z.literal('journal-ask'),
    call: Call,
    subject: z.string().optional(),
    id: z.string().optional(),
    after: z.int().nonnegative(),
  }),
  z.object({
    type: z.literal('journal-answer'),
    call: Call,
    entries: z.array(z.unknown()),
  }),
  z.object({
    type: z.literal('drain-ask'),
    call: Call,
    hostId: z.string(),
    isDraining: z.boolean(),
    /** Wall-clock milliseconds on the operator's machine. */
    time: z.number(),
    keyId: z.string(),
    signature: z.string(),
  }),
  z.object({
    type: z.literal('drain-answer'),
    call: Call,
    isAccepted: z.boolean(),
    reason: z.string(),
  }),
  z.object({
    type: z.literal('channel-bundle-ask'),
    call: Call,
    bundle: ChannelBundle,
  }),
  z.object({
    type: z.literal('channel-bundle-answer'),
    call: Call,
    /** The version currently in force. */
    version: z.int(),
    reason: z.string(),
  }),
  z.object({type: z.literal('source-ask'), call: Call}),
  z.object({
    type: z.literal('source-answer'),
    call: Call,
    /** The newest bundle as the operator sent it; null before the first. */
    source: z.string().nullable(),
  }),
  z.object({
    type: z.literal('registration-ask'),
    call: Call,
    registration: BackendRegistration,
  }),
  z.object({
    type: z.literal('departure-ask'),
    call: Call,
    /** Shared by all starts of a backend server. */
    name: z.string(),
  }),
  z.object({
    type: z.literal('registration-answer'),
    call: Call,
    /** Why the call was rejected; absent when it was accepted. */
    refusal: z.string().optional(),
  }),
  GatewayPoll,
  /** Evacuates an availability zone, or restores it; from a trusted channel or signed by an operator. */
  z.object({
    type: z.literal('evacuation-ask'),
    call: Call,
    zone: z.string().min(1).max(200),
    isEvacuated: z.boolean(),
    /** The trusted channel on which the order came in; absent for a signed order. */
    channel: z.string().optional(),
    /** Wall-clock milliseconds on the operator's machine; with `keyId` and `signature` for a signed order. */
    time: z.number().optional(),
    keyId: z.string().optional(),
    signature: z.string().optional(),
  }),
  z.object({
    type: z.literal('evacuation-answer'),
    call: Call,
    isAccepted: z.boolean(),
    /** True if no backend server of the zone is known, so that the order is refused for good. */
    isUnknownZone: z.boolean(),
    reason: z.string(),
  }),
  z.object({
    type: z.literal('leaving-ask'),
    call: Call,
    gatewayId: z.string().max(128),
    /** Incarnations whose responses announced that the server is leaving. */
    incarnations: z.array(z.string()),
  }),
  z.object({type: z.literal('leaving-answer'), call: Call}),
  z.object({
    type: z.literal('permit-ask'),
    call: Call,
    gatewayId: z.string().max(128),
    /** The rate limit as known to the gateway; absent if the server announced none. */
    limit: RateLimitReport.optional(),
    /** How long the server stays cold, as known to the gateway; absent for one that is warm. */
    cold: ColdServerReport.optional(),
  }),
  z.object({
    type: z.literal('permit-answer'),
    call: Call,
    verdict: PermitVerdict,
  }),
  /** Borrows retries from the slack that all gateways share. */
  z.object({
    type: z.literal('retry-loan-ask'),
    call: Call,
    gatewayId: z.string().max(128),
    pool: z.string().max(256),
    wanted: z.int().positive(),
  }),
  z.object({
    type: z.literal('retry-loan-answer'),
    call: Call,
    granted: z.int().nonnegative(),
    /** Milliseconds for which the gateway should not ask again. */
    pauseMs: z.number().nonnegative(),
  }),
  z.object({
    type: z.literal('ends-ask'),
    call: Call,
    gatewayId: z.string().max(128),
    crashes: z.array(CrashReport),
    /** Requests whose trial has ended. */
    released: z.array(z.string()),
    /** Requests that completed without a crash. */
    cleared: z.array(z.string()),
  }),
  z.object({type: z.literal('ends-answer'), call: Call}),
  z.object({
    type: z.literal('trial-ask'),
    call: Call,
    name: z.string().max(64),
    incarnation: z.string(),
    /** The request, where `name` is a part of its prompt. */
    request: z.string().max(64).optional(),
    /** True for a request with a convicted part that the verdict does not cover. */
    isUncovered: z.boolean().optional(),
  }),
  z.object({
    type: z.literal('trial-answer'),
    call: Call,
    verdict: TrialVerdict,
  }),
  z.object({type: z.literal('suspects-ask'), call: Call}),
  z.object({
    type: z.literal('suspects-answer'),
    call: Call,
    suspects: z.array(z.unknown()),
  }),
  z.object({
    type: z.literal('lift-ask'),
    call: Call,
    name: z.string(),
    /** Wall-clock milliseconds on the operator's machine. */
    time: z.number(),
    keyId: z.string(),
    signature: z.string(),
  }),
  z.object({
    type: z.literal('lift-answer'),
    call: Call,
    isAccepted: z.boolean(),
    reason: z.string(),
  }),
  /** Finds the leader, which alone answers calls. */
  z.object({type: z.literal('leader-ask'), call: Call}),
  z.object({type: z.literal('leader-answer'), call: Call}),
  /** Asks any control process for its view of the quorum. */
  z.object({type: z.literal('quorum-ask'), call: Call}),
  z.object({
    type: z.literal('quorum-answer'),
    call: Call,
    status: z.unknown(),
  }),
  /** Answers a call, or stands for an answer, that could not be sent or decoded. */
  z.object({
    type: z.literal('invalid-call'),
    call: Call,
    /** Names the first invalid field, if the message was decoded. */
    reason: z.string(),
  }),
  z.object({
    type: z.literal('not-leader'),
    call: Call,
    /** Addresses where the leader may be, the most likely first; present only where names are addresses. */
    control: z.array(z.string()).optional(),
  }),
]);
export type ControlMessage = z.infer<typeof ControlMessage>;
