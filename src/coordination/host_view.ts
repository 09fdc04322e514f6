import {HostReport} from '../protocol/host_report';

/** What control knows about one host process right now. */
export interface HostView {
  readonly report: HostReport;
  /** When the report came, in milliseconds of control's monotonic clock. */
  readonly seenAt: number;
  /** An operator ordered it out of service. */
  readonly isDrained: boolean;
}
