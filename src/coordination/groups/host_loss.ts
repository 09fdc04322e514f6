import {Group} from '../../protocol/group';
import {HostView} from './host_view';

/** Time without a report after which a host counts as lost; several report intervals. */
const LOST_AFTER_MS = 1_500;

/** How a member was lost. */
interface Loss {
  /** Time since it was last heard. */
  readonly silentMs: number;
  /** It is back as a new process without its state. */
  readonly hasRestarted: boolean;
}

/** Detects lost hosts from their reports. */
export const hostLoss = {
  /** True if the host has reported recently. */
  isAlive(host: HostView, now: number): boolean {
    return now - host.seenAt <= LOST_AFTER_MS;
  },

  /** Returns how a member was lost; undefined for a healthy one. */
  find(
    member: Group['members'][number],
    host: HostView | undefined,
    now: number,
  ): Loss | undefined {
    if (!host) {
      return {silentMs: Infinity, hasRestarted: false};
    }
    if (host.report.incarnation !== member.incarnation) {
      return {silentMs: now - host.lostAt, hasRestarted: true};
    }
    const missingMs =
      host.missingSince === undefined ? 0 : now - host.missingSince;
    const silentMs = Math.max(now - host.seenAt, missingMs);
    const hasNoBackend = host.report.backend === null;
    return silentMs > LOST_AFTER_MS || hasNoBackend
      ? {silentMs, hasRestarted: false}
      : undefined;
  },
};
