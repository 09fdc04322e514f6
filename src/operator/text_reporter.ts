import {FleetStatus} from '../protocol/fleet_status';
import {MessageOf} from '../protocol/message_of';
import {JournalEntry} from '../state/journal_entry';
import {formatQuorum} from './format_quorum';
import {formatTable} from './format_table';
import {OperatorResult} from './operator_result';
import {OperatorReporter} from './operator_reporter';

const DIGEST_PREFIX_LENGTH = 12;

/** Writes results as tables and sentences for people. */
export class TextReporter implements OperatorReporter {
  private constructor(private readonly write: (text: string) => void) {}

  /**
   * Creates a reporter that passes its output to `write`.
   *
   * @example
   * const reporter = TextReporter.create(text => process.stdout.write(text));
   */
  static create(write: (text: string) => void): TextReporter {
    return new TextReporter(write);
  }

  report(result: OperatorResult): void {
    this.write(FORMATTERS[result.type](result as never));
  }
}

/** Formats each type of result. */
const FORMATTERS: {
  [T in OperatorResult['type']]: (
    result: MessageOf<OperatorResult, T>,
  ) => string;
} = {
  'key-created': ({keyId, files}) =>
    `key ${keyId} written to ${files.join(' and ')}\n`,
  'bundle-checked': ({bundle, digest}) =>
    `${bundle.operator} version ${bundle.version} is well-formed (digest ${formatDigest(digest)}): ` +
    `${bundle.models.length} models, ${bundle.services.length} services, ` +
    `${bundle.workspaces.length} workspaces\n`,
  'bundle-signed': ({file, version, digest, keyId}) =>
    `version ${version} (digest ${formatDigest(digest)}) signed with ${keyId}, written to ${file}\n`,
  'bundle-compared': ({changes}) =>
    changes.length === 0
      ? 'no differences\n'
      : formatTable(
          ['PATH', 'BEFORE', 'AFTER'],
          changes.map(({path, before, after}) => [path, before, after]),
        ),
  'log-explained': ({lines}) =>
    formatTable(
      ['TIME', 'PROGRAM', 'EVENT', 'ABOUT', 'REASON'],
      lines.map(({time, program, event, id, reason}) => [
        time,
        program,
        event,
        id,
        reason,
      ]),
    ),
  'rolled-out': ({isAccepted, reason, version, digest, keyId}) =>
    isAccepted
      ? `version ${version} (digest ${formatDigest(digest)}, signed by ${keyId}): ${reason}\n`
      : `refused: ${reason}\n`,
  'in-force': ({version, inForce, of}) =>
    `version ${version} is in force on ${inForce} of ${of} hosts and entries\n`,
  status: ({status}) => formatStatus(status),
  quorum: ({processes}) => formatQuorum(processes),
  journal: ({entries}) =>
    entries.length === 0
      ? 'nothing is recorded about it\n'
      : entries.map(formatJournalEntry).join(''),
  suspects: ({suspects}) =>
    suspects.length === 0
      ? 'no backend server ended under any request that is remembered\n'
      : formatTable(
          ['REQUEST OR PART', 'STANDING', 'LAST END', 'ENDED UNDER IT'],
          suspects.map(({name, standing, crashes}) => [
            name,
            standing,
            new Date(Math.max(...crashes.map(({time}) => time))).toISOString(),
            crashes.map(({incarnation}) => incarnation).join(' '),
          ]),
        ),
  'verdict-lifted': ({name, isAccepted, reason}) =>
    `${isAccepted ? '' : 'refused: '}${name} ${isAccepted ? 'may run again' : 'stays as it is'}: ${reason}\n`,
  'evacuation-ordered': ({zone, isEvacuated, isAccepted, reason}) =>
    isAccepted
      ? `${zone} ${isEvacuated ? 'is evacuated' : 'gets requests'}: ${reason}\n`
      : `refused: ${zone}: ${reason}\n`,
  'drain-ordered': ({hostId, isDraining, isAccepted, reason}) =>
    `${isAccepted ? '' : 'refused: '}${hostId} ${isDraining ? 'drains' : 'is back'}: ${reason}\n`,
};

function formatStatus(status: FleetStatus): string {
  const {bundle, groups, hosts, entries, voters} = status;
  const digest = formatDigest(bundle.digest);
  const voterList = voters
    .map(
      ({identity, isReachable, isCaughtUp}) =>
        identity +
        (isReachable ? '' : ' (unreachable)') +
        (isCaughtUp ? '' : ' (catching up)'),
    )
    .join(', ');
  return [
    `leader ${status.leader}, term ${status.term}, commit ${status.commitIndex}\n`,
    `voters ${voterList}\n`,
    `bundle version ${bundle.version} ${digest}, in force on ${bundle.inForce} of ${bundle.of}\n`,
    ...status.evacuations.map(
      ({zone, requestedBy, since}) =>
        `evacuated ${zone}, ordered by ${requestedBy} at ${new Date(since).toISOString()}\n`,
    ),
    `entries ${entries.map(entry => entry.entryId).join(', ') || 'none'}; claims ${status.claims}\n\n`,
    formatTable(
      ['GROUP', 'EPOCH', 'DOMAIN', 'STATE', 'RUNNING', 'MEMBERS'],
      groups.map(group => [
        group.id,
        String(group.epoch),
        group.domain,
        describeGroupState(group),
        String(group.running),
        group.members.map(member => member.hostId).join(' '),
      ]),
    ),
    '\n',
    formatTable(
      ['HOST', 'ZONE', 'DOMAIN', 'BACKEND', 'GROUP', 'BUNDLE', 'SEEN'],
      hosts.map(host => [
        host.hostId + (host.isLeaving ? ' (leaving)' : ''),
        host.zone,
        host.domain,
        host.backend || '-',
        host.group || '-',
        String(host.bundleVersion),
        `${host.seenMsAgo} ms ago`,
      ]),
    ),
  ].join('');
}

function describeGroupState(group: FleetStatus['groups'][number]): string {
  if (group.isDraining) {
    return 'draining';
  }
  if (group.isServing) {
    return 'serving';
  }
  return group.missing.length > 0
    ? `misses ${group.missing.join(' ')}`
    : 'starting';
}

function formatJournalEntry(entry: JournalEntry): string {
  const time = new Date(entry.time).toISOString();
  const details = Object.entries(entry.details)
    .map(([name, value]) => ` ${name}=${value}`)
    .join('');
  return `${time} #${entry.index} ${entry.type} ${entry.subject} ${entry.id}: ${entry.reason}${details}\n`;
}

function formatDigest(digest: string): string {
  return digest.slice(0, DIGEST_PREFIX_LENGTH);
}
