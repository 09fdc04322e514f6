import {z} from 'zod';
import {GatewayRules} from './gateway_rules';

/**
 * A bundle that came in over a named operator channel and carries no signature:
 * whoever reaches the channel is trusted. Only control processes whose settings
 * name the channel accept it.
 */
export const ChannelBundle = z.object({
  channel: z.string().min(1),
  /** What the operator sent, to the byte, for reading it back. */
  source: z.string(),
  rules: GatewayRules,
});
export type ChannelBundle = z.infer<typeof ChannelBundle>;
