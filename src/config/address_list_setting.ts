import {z} from 'zod';
import {ServerAddress} from '../common/server_address';

/** Schema of a comma-separated list of addresses, like `10.0.0.1:7000,10.0.0.2:7000`. */
export const addressListSetting = z
  .string()
  .transform((text, context): readonly ServerAddress[] => {
    const parts = text.split(',').filter(part => part !== '');
    let addresses: readonly ServerAddress[];
    try {
      addresses = parts.map(ServerAddress.parse);
    } catch {
      context.addIssue('expected addresses like 10.0.0.1:7000,10.0.0.2:7000');
      return z.NEVER;
    }
    if (addresses.length === 0) {
      context.addIssue('expected at least one address');
      return z.NEVER;
    }
    return addresses;
  });
