import {z} from 'zod';
import {LogEntry} from '../protocol/log_entry';

/** One record of the write-ahead log. */
export const LogRecord = z.discriminatedUnion('type', [
  z.object({type: z.literal('entry'), entry: LogEntry}),
  /** Removes the entry at index `from` and all later ones. */
  z.object({type: z.literal('truncate'), from: z.int().positive()}),
  /**
   * Entries up to `index` are committed. Without it a restarted process could not
   * tell which voter changes are in force, and would contact voters that were
   * removed long ago.
   */
  z.object({type: z.literal('commit'), index: z.int().nonnegative()}),
  z.object({
    type: z.literal('hard-state'),
    term: z.int().nonnegative(),
    votedFor: z.string().optional(),
  }),
]);
export type LogRecord = z.infer<typeof LogRecord>;
