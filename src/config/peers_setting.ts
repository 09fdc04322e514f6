import {z} from 'zod';
import {parseAddress} from '../protocol/parse_address';

/** Schema of names with their addresses, like `control-b=10.0.0.2:7000,control-c=10.0.0.3:7000`. */
export const peersSetting = z
  .string()
  .transform((text, context): ReadonlyMap<string, string> => {
    const peers = new Map<string, string>();
    for (const part of text.split(',').filter(piece => piece !== '')) {
      const separatorIndex = part.indexOf('=');
      const [name, address] = [
        part.slice(0, separatorIndex),
        part.slice(separatorIndex + 1),
      ];
      try {
        parseAddress(address);
      } catch {
        context.addIssue(
          'expected names and addresses like control-b=10.0.0.2:7000',
        );
        return z.NEVER;
      }
      if (separatorIndex < 1 || peers.has(name)) {
        context.addIssue(
          'expected each name once, like control-b=10.0.0.2:7000',
        );
        return z.NEVER;
      }
      peers.set(name, address);
    }
    return peers;
  });
