/** What a fleet of `playCrashes` is made of. */
import {Containment} from '../../src/gateway/containment';
import {RequestIdentity} from '../../src/gateway/request_identity';
import {SuspectTrial} from '../../src/gateway/suspect_trial';

export interface Server {
  incarnation: string;
  isUp: boolean;
  readonly running: Set<Run>;
}

export interface Gateway {
  readonly containment: Containment;
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
  runs: number;
  run: Run | undefined;
  brokeAt: number | undefined;
}
