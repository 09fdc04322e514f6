import {EngineProfile} from '../../protocol/engine_profile';
import {BackendView} from './backend_view';

/** Free hosts of one domain that are reserved for the next group of a model. */
export interface EngineReservation {
  readonly model: EngineProfile['models'][number];
  readonly domain: string;
  readonly hosts: readonly BackendView[];
}
