import {z} from 'zod';
import {ServerAddress} from '../common/server_address';

/** Schema of one address, like `127.0.0.1:7000`. */
export const addressSetting = z.string().transform((text, context) => {
  try {
    return ServerAddress.parse(text);
  } catch {
    context.addIssue('expected an address like 127.0.0.1:7000');
    return z.NEVER;
  }
});
