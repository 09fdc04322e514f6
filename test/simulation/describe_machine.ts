import {splitIdentity} from '../../src/protocol/split_identity';
import {VirtualMachine} from './virtual_machine';

/** Tells in a line how a machine stands, for the reader of a broken day. */
export function describeMachine({
  name,
  runtime,
  station,
}: VirtualMachine): string {
  if (!runtime) {
    return `${name}: ${station ? 'knows no quorum' : 'does not run'}`;
  }
  const {role, term, commitIndex, others} = runtime.raft;
  const voters = others.map(other => splitIdentity(other).name).join(' ');
  return `${station?.identity}: ${role} of term ${term}, committed ${commitIndex}, with ${voters}`;
}
