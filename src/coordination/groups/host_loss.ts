import {Group} from '../../protocol/group';
import {HostView} from './host_view';

/** Silence after which a host counts as lost; several report intervals. */
const LOST_AFTER_MS = 1_500;

/** How a member was lost. */
interface Loss {
  /** For how long nothing was heard of it. */
  readonly silentMs: number;
  /** It is there again, but as another process that knows nothing. */
  readonly hasForgotten: boolean;
}

/** Tells which hosts are lost. */
export const hostLoss = {
  /** True for a host that reported lately. */
  isHeard(host: HostView, now: number): boolean {
    return now - host.seenAt <= LOST_AFTER_MS;
  },

  /** Whether and how a member was lost; undefined for one that is well. */
  find(
    member: Group['members'][number],
    host: HostView | undefined,
    now: number,
  ): Loss | undefined {
    if (!host) {
      return {silentMs: Infinity, hasForgotten: false};
    }
    if (host.report.incarnation !== member.incarnation) {
      return {silentMs: now - host.lostAt, hasForgotten: true};
    }
    const missingMs =
      host.missingSince === undefined ? 0 : now - host.missingSince;
    const silentMs = Math.max(now - host.seenAt, missingMs);
    const isGone = host.report.backend === null;
    return silentMs > LOST_AFTER_MS || isGone
      ? {silentMs, hasForgotten: false}
      : undefined;
  },
};
