import {BackendRegistration} from '../../protocol/backend_registration';

/** What control knows about one start of a backend server right now. */
export interface BackendView {
  readonly registration: BackendRegistration;
  /** When the registration came, in milliseconds of control's monotonic clock. */
  readonly seenAt: number;
  readonly firstSeenAt: number;
  /** The model that it held last since its start, as far as is known: it joins that at once. */
  readonly loadedModel: string | undefined;
}
