import {EngineGroup} from '../../protocol/engine_group';
import {BackendView} from './backend_view';
import {EnginePlanInput} from './engine_plan_input';

/**
 * Returns why a group must end whose head is in an evacuated zone; undefined if it need not.
 * It ends only if some of its members are in other zones, where other groups can use them.
 * If all are in evacuated zones, it stays and serves as soon as the zone is restored.
 *
 * @example
 * const reason = findEvacuationFault(group, views, input);
 */
export function findEvacuationFault(
  {members}: EngineGroup,
  views: ReadonlyMap<string, BackendView>,
  {isEvacuated = () => false}: Pick<EnginePlanInput, 'isEvacuated'>,
): string | undefined {
  const [head, ...others] = members.map(
    ({incarnation}) => views.get(incarnation)?.registration.zone,
  );
  const isOfUse = others.some(zone => zone !== undefined && !isEvacuated(zone));
  return head !== undefined && isEvacuated(head) && isOfUse
    ? `the zone ${head} of its head is evacuated, and other groups can use its members elsewhere`
    : undefined;
}
