import {Group} from '../../protocol/group';

/** One kind of replica that the bundle asks for. */
export interface ReplicaDemand {
  readonly kind: Group['kind'];
  readonly name: string;
  readonly replicas: number;
  readonly hostsPerReplica: number;
  readonly worth: number;
  /** Until one host is ready to serve it; 0 for services, which load nothing. */
  readonly loadSeconds: number;
}
