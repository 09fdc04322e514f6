import {HostReport} from '../../protocol/host_report';

/** What control knows about one host process right now. */
export interface HostView {
  readonly report: HostReport;
  /** When the report came, in milliseconds of control's monotonic clock. */
  readonly seenAt: number;
  /** Since when a first member says that it does not hear this host. */
  readonly missingSince?: number;
  /** How often it was lost within the last minutes. */
  readonly losses: number;
  /** When it was last lost. */
  readonly lostAt: number;
  /** An operator ordered it out of service. */
  readonly isDrained: boolean;
}
