import {z} from 'zod';
import {GatewayRules} from './gateway_rules';

/**
 * A bundle received over a named operator channel, without a signature: whoever can
 * reach the channel is trusted. Only control processes whose settings name the
 * channel accept it.
 */
export const ChannelBundle = z.object({
  channel: z.string().min(1),
  /** The document exactly as the operator sent it, so that it can be read back. */
  source: z.string(),
  rules: GatewayRules,
});
export type ChannelBundle = z.infer<typeof ChannelBundle>;
