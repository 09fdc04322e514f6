import {z} from 'zod';
import {ControlCommand} from './control_command';

/** One entry of the replicated log. */
export const LogEntry = z.object({
  index: z.int().positive(),
  term: z.int().nonnegative(),
  command: ControlCommand,
});
export type LogEntry = z.infer<typeof LogEntry>;
