import {BackendRegistration} from '../../protocol/backend_registration';

/** What the control plane currently knows about one process of a backend server. */
export interface BackendView {
  readonly registration: BackendRegistration;
  /** When the newest registration arrived, in milliseconds of the controller's monotonic clock. */
  readonly seenAt: number;
  readonly firstSeenAt: number;
  /** Model last known to be in its memory since it started; it can join a group of that model at once. */
  readonly loadedModel: string | undefined;
}
