import {z} from 'zod';
import {LogEntry} from '../protocol/log_entry';

/** One record of the write-ahead log. */
export const LogRecord = z.discriminatedUnion('type', [
  z.object({type: z.literal('entry'), entry: LogEntry}),
  /** Drops the entry at `from` and all after it. */
  z.object({type: z.literal('truncate'), from: z.int().positive()}),
  /**
   * Entries up to here are committed. Without it a restarted process could not
   * tell which of its voter changes are in force, and would ask voters that are
   * long gone.
   */
  z.object({type: z.literal('commit'), index: z.int().nonnegative()}),
  z.object({
    type: z.literal('hard-state'),
    term: z.int().nonnegative(),
    votedFor: z.string().optional(),
  }),
]);
export type LogRecord = z.infer<typeof LogRecord>;
