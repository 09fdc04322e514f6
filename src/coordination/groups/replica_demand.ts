import {Group} from '../../protocol/group';

/** Replicas of one model or service that the bundle requests. */
export interface ReplicaDemand {
  readonly kind: Group['kind'];
  readonly name: string;
  readonly replicas: number;
  readonly hostsPerReplica: number;
  readonly worth: number;
  /** Load time of one host; 0 for services, which load nothing. */
  readonly loadSeconds: number;
}
