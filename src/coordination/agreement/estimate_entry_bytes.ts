import {LogEntry} from '../../protocol/log_entry';

/** Everything but a bundle: names, members, a reason. */
const SMALL_ENTRY_BYTES = 1_000;
/** The rules of a channel's bundle take about as much as what the operator sent. */
const CHANNEL_FACTOR = 2.5;

/**
 * About how many bytes an entry takes on the wire. Only bundles are large.
 *
 * @example
 * const bytes = computeEntryBytes(entry);
 */
export function estimateEntryBytes({command}: LogEntry): number {
  if (command.type === 'accept-channel-bundle') {
    return SMALL_ENTRY_BYTES + command.bundle.source.length * CHANNEL_FACTOR;
  }
  if (command.type === 'roll-out') {
    return SMALL_ENTRY_BYTES + command.bundle.document.length;
  }
  return SMALL_ENTRY_BYTES;
}
