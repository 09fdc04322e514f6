import {z} from 'zod';

/** A setting that names a process, zone or domain. */
export const nameSetting = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
    'expected letters, digits, ".", "_" or "-"',
  );
