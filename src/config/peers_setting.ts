import {z} from 'zod';
import {ServerAddress} from '../common/server_address';

/** Schema of names with their addresses, like `control-b=10.0.0.2:7000,control-c=10.0.0.3:7000`. */
export const peersSetting = z
  .string()
  .transform((text, context): ReadonlyMap<string, ServerAddress> => {
    const peers = new Map<string, ServerAddress>();
    for (const part of text.split(',').filter(piece => piece !== '')) {
      const separatorIndex = part.indexOf('=');
      const name = part.slice(0, separatorIndex);
      let address: ServerAddress;
      try {
        address = ServerAddress.parse(part.slice(separatorIndex + 1));
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
