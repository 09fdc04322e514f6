/** The poll of a gateway, with which it reports to the leader, and its answer. */
import {z} from 'zod';
import {ColdServerReport} from './cold_server_report';
import {GatewayTargetMessage} from './gateway_target_message';
import {ModelAdmission} from './model_admission';
import {ModelDemand} from './model_demand';
import {QueueReport} from './queue_report';
import {RateLimitReport} from './rate_limit_report';
import {SuspectUpdate} from './suspect_update';
import {ZoneEvacuation} from './zone_evacuation';

const Call = z.int().nonnegative();

export const GatewayPoll = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('gateway-ask'),
    call: Call,
    gatewayId: z.string().max(128),
    rulesVersion: z.int().nonnegative(),
    /** Version tag of the gateway's copy of the backend server table; empty for none. */
    tableTag: z.string(),
    /** Backend servers that recently stopped responding to this gateway. */
    stalled: z.array(z.string()),
    /** Backend servers that recently responded to this gateway. */
    answering: z.array(z.string()),
    /** Milliseconds since the last response bytes from each of them, in the same order. */
    answeringMsAgo: z.array(z.int().nonnegative()).optional(),
    /** Requests in flight from this gateway, by incarnation of the backend server. */
    running: z.record(z.string(), z.int()),
    /** Models with requests that were recently rejected for lack of a free slot. */
    pressed: z.array(z.string()),
    /** Heads that recently answered this gateway that they do not serve the group of this epoch. */
    closedHeads: z
      .array(z.object({incarnation: z.string(), epoch: z.int().nonnegative()}))
      .optional(),
    /** True after the first accepted request of a caller. */
    hasServed: z.boolean(),
    /** True when this report has changes: the answer must not be delayed until control has some (long polling). */
    isUrgent: z.boolean().default(false),
    /** Version of the gateway's list of suspected requests; 0 for none. */
    suspectsVersion: z.int().nonnegative().optional(),
    /** Demand of callers at this gateway, by model. */
    demand: z.record(z.string(), ModelDemand).optional(),
    /** Version tag of the gateway's copy of the rate limit table; absent at a gateway without rate limits. */
    limitsTag: z.string().optional(),
    /** Rate limits that this gateway has not yet reported to this leader. */
    limits: z.array(RateLimitReport).optional(),
    /** Cold backend servers that this gateway has not yet reported to this leader. */
    cold: z.array(ColdServerReport).optional(),
    /** Requests that wait or arrive at this gateway, by model and urgency. */
    queues: z.array(QueueReport).optional(),
    /** Version of the evacuations known to the gateway; 0 for none. */
    evacuationsVersion: z.int().nonnegative().optional(),
  }),
  z.object({
    type: z.literal('gateway-answer'),
    call: Call,
    /** Encoded separately (see `rulesCodec`); present when the caller has another version. */
    rules: z
      .custom<Uint8Array>(value => value instanceof Uint8Array)
      .optional(),
    rulesVersion: z.int(),
    tableTag: z.string(),
    /** Present when the caller has another version of the table. */
    targets: z.array(GatewayTargetMessage).optional(),
    /** Backend servers that accept no new requests; present with `targets`. */
    retired: z.array(z.string()).optional(),
    /** Backend servers that have registered and do not serve now; present with `targets`. */
    closed: z.array(z.string()).optional(),
    /** False when `targets` has only the changes to the table of the caller. */
    isWholeTable: z.boolean().optional(),
    /** False while some backend servers may not have registered with this leader yet. */
    isComplete: z.boolean(),
    /** Requests in flight from the other gateways, by incarnation, as last reported. */
    runningElsewhere: z.record(z.string(), z.int()),
    /** Number of active gateways, among which global limits are divided. */
    gateways: z.int().positive(),
    /** Addresses of the voting control processes. */
    control: z.array(z.string()),
    /** Present when the caller has another version of the list. */
    suspects: SuspectUpdate.optional(),
    limitsTag: z.string().optional(),
    /** Changes to the rate limit table; present when the caller has another version. */
    limits: z.array(RateLimitReport).optional(),
    /** Models whose requests are limited by urgency, and their arrivals. */
    admissions: z.array(ModelAdmission).optional(),
    /** Version of the evacuations; increases with each change. */
    evacuationsVersion: z.int().nonnegative().optional(),
    /** All evacuated availability zones; absent from leaders without evacuations. */
    evacuations: z.array(ZoneEvacuation).optional(),
  }),
]);
export type GatewayPoll = z.infer<typeof GatewayPoll>;
