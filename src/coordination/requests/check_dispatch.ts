/** Validates a dispatched request before a host process starts it. */
import {Group} from '../../protocol/group';
import {MessageOf} from '../../protocol/message_of';
import {RequestMessage} from '../../protocol/request_message';

/** State of the host process when a dispatch arrives. */
interface DispatchContext {
  readonly hostId: string;
  readonly incarnation: string;
  /** The group that this host belongs to. */
  readonly group: Group | undefined;
  /** Group members without a recent heartbeat. */
  readonly missingMembers: readonly string[];
  /** Whether the control plane confirmed the bundle recently enough. */
  readonly hasBundleLease: boolean;
  readonly hasBackend: boolean;
  readonly isLeaving: boolean;
  /** Monotonic time of this process, taken after the frame was read. */
  readonly now: number;
}

type Dispatch = MessageOf<RequestMessage, 'dispatch'>;
type Check = (
  context: DispatchContext,
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
  ({missingMembers}) =>
    missingMembers.length === 0
      ? undefined
      : `members are missing: ${missingMembers.join(' ')}`,
  ({hasBackend}) => (hasBackend ? undefined : 'no backend server is announced'),
];

/**
 * Runs the checks in order, from lasting reasons of a refusal to temporary ones. A pure function.
 *
 * @returns the reason of the refusal, or undefined if the request may start
 * @example
 * const refusal = checkDispatch(context, dispatch);
 */
export function checkDispatch(
  context: DispatchContext,
  dispatch: Dispatch,
): string | undefined {
  for (const check of CHECKS) {
    const refusal = check(context, dispatch);
    if (refusal) {
      return refusal;
    }
  }
  return undefined;
}
