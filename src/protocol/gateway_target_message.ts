import {z} from 'zod';

/** A backend server that a gateway may send requests to, as the leader tells it. */
export const GatewayTargetMessage = z.object({
  incarnation: z.string(),
  /** Shared by all starts of this backend server. */
  name: z.string().optional(),
  pool: z.string(),
  /** `host:port` for requests; a leader of another version may tell a malformed one. */
  address: z.string(),
  zone: z.string(),
  slots: z.int().nonnegative(),
  /** The model that the server serves as the head of an open group. */
  model: z.string().optional(),
  /** Epoch of that group: the head of a new epoch has no state of the failed one. */
  epoch: z.int().optional(),
  /** Time for which the server stays cold, in milliseconds from when the leader sent this; absent for one that is warm. */
  coldForMs: z.number().nonnegative().optional(),
});
export type GatewayTargetMessage = z.infer<typeof GatewayTargetMessage>;
