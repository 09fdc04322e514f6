import {z} from 'zod';

/** Schema of the name of a process, availability zone or fabric domain. */
export const nameSetting = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
    'expected letters, digits, ".", "_" or "-"',
  );
