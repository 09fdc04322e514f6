import {LogEntry} from '../../protocol/log_entry';

/** Estimate for a command without a bundle, which holds names, members and a reason. */
const SMALL_ENTRY_BYTES = 1_000;
/** A channel bundle carries its source and the rules translated from it, which are of about the same size. */
const SIZE_FACTOR = 2.5;

/**
 * Estimates the encoded size of a log entry. Only bundles are large.
 *
 * @example
 * const bytes = estimateEntryBytes(entry);
 */
export function estimateEntryBytes({command}: LogEntry): number {
  if (command.type === 'accept-channel-bundle') {
    return SMALL_ENTRY_BYTES + command.bundle.source.length * SIZE_FACTOR;
  }
  if (command.type === 'roll-out') {
    return SMALL_ENTRY_BYTES + command.bundle.document.length;
  }
  return SMALL_ENTRY_BYTES;
}
