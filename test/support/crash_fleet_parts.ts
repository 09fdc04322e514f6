/** What a fleet of `playCrashes` is made of. */
import {CrashContainment} from '../../src/gateway/crash_containment';
import {RequestIdentity} from '../../src/gateway/request_identity';
import {SuspectTrial} from '../../src/gateway/suspect_trial';

export interface Server {
  incarnation: string;
  isUp: boolean;
  readonly running: Set<Run>;
}

export interface Gateway {
  containment: CrashContainment;
  /** It takes requests once it has rules, and the list of suspects comes with them. */
  isReady: boolean;
  readonly flows: Set<Flow>;
}

export interface Run {
  readonly flow: Flow;
  readonly server: Server;
  hasBegun: boolean;
}

export interface Flow {
  readonly gateway: Gateway;
  readonly identity: RequestIdentity;
  readonly isMarked: boolean;
  readonly marked: number;
  readonly trial: SuspectTrial;
  readonly tried: Set<string>;
  /** Its gateway was killed. */
  isForgotten: boolean;
  runs: number;
  run: Run | undefined;
  brokeAt: number | undefined;
}
