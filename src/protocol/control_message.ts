/** Calls to the control leader and their answers, matched by `call`. */
import {z} from 'zod';
import {BackendRegistration} from './backend_registration';
import {ChannelBundle} from './channel_bundle';
import {ClaimVerdict} from './claim_verdict';
import {CrashReport} from './crash_report';
import {GatewayTarget} from './gateway_target';
import {Group} from './group';
import {HostReport} from './host_report';
import {RateLimitReport} from './rate_limit_report';
import {ModelDemand} from './model_demand';
import {RequestOutcome} from './request_outcome';
import {PermitVerdict} from './permit_verdict';
import {SignedBundle} from './signed_bundle';
import {SuspectUpdate} from './suspect_update';
import {TrialVerdict} from './trial_verdict';

const Call = z.int().nonnegative();

export const ControlMessage = z.discriminatedUnion('type', [
  z.object({type: z.literal('host-report'), call: Call, report: HostReport}),
  z.object({
    type: z.literal('host-directive'),
    call: Call,
    /** How long the receiver may take new work, from when it asked. */
    leaseMs: z.number(),
    bundleVersion: z.int(),
    /** Present when the asker reported another version. */
    bundle: SignedBundle.optional(),
    /** Null for none; absent when it is as the asker was told before. */
    group: Group.nullable().optional(),
    /** The model that an engine without a group should load in advance. */
    standby: z.string().nullable(),
  }),
  z.object({
    type: z.literal('entry-report'),
    call: Call,
    entryId: z.string().max(128),
    bundleVersion: z.int().nonnegative(),
    /** The newest routing table that the entry holds; 0 for none. */
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
    /** Wall-clock milliseconds at the operator's machine. */
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
    /** The version in force now. */
    version: z.int(),
    reason: z.string(),
  }),
  z.object({type: z.literal('source-ask'), call: Call}),
  z.object({
    type: z.literal('source-answer'),
    call: Call,
    /** The newest bundle as its operator sent it; null before the first. */
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
    /** Why nothing was taken; absent when it was. */
    refusal: z.string().optional(),
  }),
  z.object({
    type: z.literal('gateway-ask'),
    call: Call,
    gatewayId: z.string().max(128),
    rulesVersion: z.int().nonnegative(),
    /** Names the leader's table that the gateway holds; empty for none. */
    tableTag: z.string(),
    /** Backend servers that stopped answering at this gateway lately. */
    stalled: z.array(z.string()),
    /** Backend servers that answered this gateway lately. */
    answering: z.array(z.string()),
    /** Milliseconds since bytes of an answer last came from each of them, in the same order. */
    answeringMsAgo: z.array(z.int().nonnegative()).optional(),
    /** Requests that this gateway has at backend servers now, by incarnation. */
    running: z.record(z.string(), z.int()),
    /** Models of which requests were refused lately for want of a place. */
    pressed: z.array(z.string()),
    /** True once a caller's request was taken. */
    hasServed: z.boolean(),
    /** The asker has news: the answer must not wait for any in return. */
    isUrgent: z.boolean().default(false),
    /** The newest list of suspected requests that the gateway holds; 0 for none. */
    suspectsVersion: z.int().nonnegative().optional(),
    /** What callers ask for here, by model. */
    demand: z.record(z.string(), ModelDemand).optional(),
    /** Names the leader's table of limits that the gateway holds; absent at one that knows of none. */
    limitsTag: z.string().optional(),
    /** Limits that this leader was not told from here. */
    limits: z.array(RateLimitReport).optional(),
  }),
  z.object({
    type: z.literal('gateway-answer'),
    call: Call,
    /** Encoded by themselves; present when the asker holds another version. */
    rules: z
      .custom<Uint8Array>(value => value instanceof Uint8Array)
      .optional(),
    rulesVersion: z.int(),
    tableTag: z.string(),
    /** Present when the asker holds another table. */
    targets: z.array(GatewayTarget).optional(),
    /** Backend servers that take no new work, with every table. */
    retired: z.array(z.string()).optional(),
    /** Backend servers that were heard and serve nothing now, with every table. */
    closed: z.array(z.string()).optional(),
    /** False where the table holds only what changed in the one that the asker holds. */
    isWholeTable: z.boolean().optional(),
    /** False while the leader may not have heard every backend server yet. */
    isComplete: z.boolean(),
    /** Requests that the other gateways have there, by incarnation, as last told. */
    runningElsewhere: z.record(z.string(), z.int()),
    /** Gateways heard of lately, for sharing out what is limited in all. */
    gateways: z.int().positive(),
    /** Addresses of the control processes that vote. */
    control: z.array(z.string()),
    /** Present when the asker holds another list. */
    suspects: SuspectUpdate.optional(),
    limitsTag: z.string().optional(),
    /** What changed in the table of limits; present when the asker holds another. */
    limits: z.array(RateLimitReport).optional(),
  }),
  z.object({
    type: z.literal('leaving-ask'),
    call: Call,
    gatewayId: z.string().max(128),
    /** Starts of backend servers that said in an answer that they leave. */
    incarnations: z.array(z.string()),
  }),
  z.object({type: z.literal('leaving-answer'), call: Call}),
  z.object({
    type: z.literal('permit-ask'),
    call: Call,
    gatewayId: z.string().max(128),
    /** The limit as the gateway knows it. */
    limit: RateLimitReport,
  }),
  z.object({
    type: z.literal('permit-answer'),
    call: Call,
    verdict: PermitVerdict,
  }),
  z.object({
    type: z.literal('ends-ask'),
    call: Call,
    gatewayId: z.string().max(128),
    crashes: z.array(CrashReport),
    /** Requests whose trials are over. */
    released: z.array(z.string()),
    /** Requests that ran to their end. */
    cleared: z.array(z.string()),
  }),
  z.object({type: z.literal('ends-answer'), call: Call}),
  z.object({
    type: z.literal('trial-ask'),
    call: Call,
    name: z.string().max(64),
    incarnation: z.string(),
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
    /** Wall-clock milliseconds at the operator's machine. */
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
  /** Answered by the leader alone, like every call: finds it. */
  z.object({type: z.literal('leader-ask'), call: Call}),
  z.object({type: z.literal('leader-answer'), call: Call}),
  z.object({
    type: z.literal('not-leader'),
    call: Call,
    /** Where the leader may be, the likeliest first; only where names are addresses. */
    control: z.array(z.string()).optional(),
  }),
]);
export type ControlMessage = z.infer<typeof ControlMessage>;
