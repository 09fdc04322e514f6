/** Decides whether a host process may start what an entry sent. */
import {Group} from '../../protocol/group';
import {MessageOf} from '../../protocol/message_of';
import {RequestMessage} from '../../protocol/request_message';

/** What the host process knows when a dispatch arrives. */
interface DispatchSituation {
  readonly hostId: string;
  readonly incarnation: string;
  /** The group that this host belongs to. */
  readonly group: Group | undefined;
  /** Members without a fresh heartbeat. */
  readonly missing: readonly string[];
  /** Control confirmed the bundle lately enough. */
  readonly hasBundleLease: boolean;
  readonly hasBackend: boolean;
  readonly isLeaving: boolean;
  /** This process's monotonic clock, read after the frame was. */
  readonly now: number;
}

type Dispatch = MessageOf<RequestMessage, 'dispatch'>;
type Check = (
  situation: DispatchSituation,
  dispatch: Dispatch,
) => string | undefined;

const CHECKS: readonly Check[] = [
  ({incarnation}, dispatch) =>
    dispatch.incarnation === incarnation
      ? undefined
      : 'the host process restarted',
  ({now}, dispatch) =>
    now <= dispatch.startBy
      ? undefined
      : 'the request came after its start-by time',
  ({group}, dispatch) =>
    group?.id === dispatch.groupId && group.epoch === dispatch.epoch
      ? undefined
      : 'the host is not in that group and epoch',
  ({group, hostId}) =>
    group?.members[0].hostId === hostId
      ? undefined
      : 'the host is not the first member',
  ({group, isLeaving}) =>
    group?.isDraining || isLeaving
      ? 'the group takes no new work: it is leaving'
      : undefined,
  ({hasBundleLease}) =>
    hasBundleLease ? undefined : 'control did not confirm the bundle in time',
  ({missing}) =>
    missing.length === 0
      ? undefined
      : `members are missing: ${missing.join(' ')}`,
  ({hasBackend}) => (hasBackend ? undefined : 'no backend server is announced'),
];

/**
 * Checks a dispatch in order of certainty; a pure function.
 *
 * @returns why it must not start, or undefined when it may
 * @example
 * const refusal = checkDispatch(situation, dispatch);
 */
export function checkDispatch(
  situation: DispatchSituation,
  dispatch: Dispatch,
): string | undefined {
  for (const check of CHECKS) {
    const refusal = check(situation, dispatch);
    if (refusal) {
      return refusal;
    }
  }
  return undefined;
}
