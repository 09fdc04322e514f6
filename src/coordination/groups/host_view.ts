import {HostReport} from '../../protocol/host_report';

/** What the control plane currently knows about one host process. */
export interface HostView {
  readonly report: HostReport;
  /** When the report arrived, in milliseconds of the controller's monotonic clock. */
  readonly seenAt: number;
  /** Since when a first member has reported this host as missing. */
  readonly missingSince?: number;
  /** Number of times it was lost within the last minutes. */
  readonly losses: number;
  /** When it was last lost. */
  readonly lostAt: number;
  /** An operator has ordered it to drain. */
  readonly isDrained: boolean;
}
