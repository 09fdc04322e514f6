import {z} from 'zod';
import {ServerAddress} from '../common/server_address';

/** Schema of an address to listen on, like `127.0.0.1:7000`; port 0 takes any free port. */
export const listenSetting = z.string().transform((text, context) => {
  try {
    return ServerAddress.parseListener(text);
  } catch {
    context.addIssue('expected an address like 127.0.0.1:7000');
    return z.NEVER;
  }
});
