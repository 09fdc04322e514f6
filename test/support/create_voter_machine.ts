import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {ControlDataFolder} from '../../src/state/control_data_folder';
import {reservePort} from './reserve_port';

/**
 * Creates the address and the data folder of a control process that does not run yet.
 *
 * @example
 * const {name, folder, identity} = await createVoterMachine();
 */
export async function createVoterMachine(): Promise<{
  readonly name: string;
  readonly folder: string;
  readonly identity: string;
}> {
  const name = `127.0.0.1:${await reservePort()}`;
  const folder = mkdtempSync(path.join(tmpdir(), 'whinreel-voter-'));
  const disk = await ControlDataFolder.create(folder, name);
  await disk.close();
  return {name, folder, identity: disk.identity};
}
