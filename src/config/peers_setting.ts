import {z} from 'zod';
import {parseAddress} from '../protocol/parse_address';

/** A setting like `control-b=10.0.0.2:7000,control-c=10.0.0.3:7000`. */
export const peersSetting = z
  .string()
  .transform((text, context): ReadonlyMap<string, string> => {
    const peers = new Map<string, string>();
    for (const part of text.split(',').filter(piece => piece !== '')) {
      const at = part.indexOf('=');
      const [name, address] = [part.slice(0, at), part.slice(at + 1)];
      try {
        parseAddress(address);
      } catch {
        context.addIssue(
          'expected names and addresses like control-b=10.0.0.2:7000',
        );
        return z.NEVER;
      }
      if (at < 1 || peers.has(name)) {
        context.addIssue(
          'expected each name once, like control-b=10.0.0.2:7000',
        );
        return z.NEVER;
      }
      peers.set(name, address);
    }
    return peers;
  });
