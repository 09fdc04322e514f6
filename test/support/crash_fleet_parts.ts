/** State of the simulated processes and requests of `runCrashFleet`. */
import {CrashContainment} from '../../src/gateway/crashes/crash_containment';
import {RequestIdentity} from '../../src/gateway/crashes/request_identity';
import {SuspectTrial} from '../../src/gateway/crashes/suspect_trial';

/** A backend server, which gets a new incarnation with each restart. */
export interface Backend {
  incarnation: string;
  isUp: boolean;
  readonly running: Set<Attempt>;
}

/** A gateway with its real crash containment. */
export interface Gateway {
  containment: CrashContainment;
  /** It accepts requests once it has rules, with which it receives the suspect list. */
  isReady: boolean;
  readonly requests: Set<SimulatedRequest>;
}

/** One attempt of a request at a backend server. */
export interface Attempt {
  readonly request: SimulatedRequest;
  readonly backend: Backend;
  hasResponseStarted: boolean;
}

/** A request at a gateway. */
export interface SimulatedRequest {
  readonly gateway: Gateway;
  readonly identity: RequestIdentity;
  readonly isPoison: boolean;
  readonly poisonIndex: number;
  readonly trial: SuspectTrial;
  readonly triedBackends: Set<string>;
  /** Its gateway was restarted. */
  isAbandoned: boolean;
  lostAttempts: number;
  attempt: Attempt | undefined;
  connectionLostAt: number | undefined;
}
