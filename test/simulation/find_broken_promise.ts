import {createBundle} from './create_bundle';
import {VerdictLedger} from './verdict_ledger';
import {VirtualMachine} from './virtual_machine';

/** Whoever answers knows all that was acknowledged, as it was sent; tells what is not so. */
export function findBrokenPromise(
  {name, runtime}: VirtualMachine,
  acked: number,
  verdicts: VerdictLedger,
): string | undefined {
  if (!runtime) {
    return undefined;
  }
  const {version, source} = runtime.state.channel;
  if (version < acked) {
    return `${name} answers with version ${version}; ${acked} was acknowledged`;
  }
  if (version > 0 && source !== createBundle(version).source) {
    return `${name} holds another version ${version} than was sent`;
  }
  const zone = verdicts.evacuations?.findLost(runtime);
  if (zone !== undefined) {
    return `${name} does not know the acknowledged order for ${zone}`;
  }
  const lost = verdicts.findLost(runtime);
  return lost && `${name} no longer knows the verdict on ${lost}`;
}
