import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';
import {EngineAction} from './engine_action';
import {EnginePlanInput} from './engine_plan_input';

/**
 * Creates the order that loads a free host's memory, through a single-host group that never opens.
 *
 * @example
 * const order = createMemoryLoad(host, model, input);
 */
export function createMemoryLoad(
  {registration}: BackendView,
  model: EngineProfile['models'][number],
  {pool, epoch}: EnginePlanInput,
): EngineAction {
  const {incarnation, address, domain, stagedModels} = registration;
  return {
    type: 'order',
    kind: 'join',
    incarnation,
    address,
    group: {
      name: `parked-${incarnation}`,
      epoch,
      pool,
      model: model.name,
      domain: domain ?? '',
      members: [{incarnation, address}],
      isEnding: false,
      isReleased: false,
    },
    isParking: true,
    model: model.name,
    isLoad: !stagedModels.includes(model.name),
    reason: 'a spare takes a model into memory',
  };
}
