import {BackendView} from './backend_view';

/** A host that serves nobody. */
export interface IdleHost {
  readonly host: BackendView;
  /** Why it serves nobody, in a few words that stay the same while nothing changes. */
  readonly reason: string;
}
