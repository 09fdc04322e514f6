import {z} from 'zod';
import {ControlSettings} from '../control/control_settings';
import {createIntegerSetting} from './create_integer_setting';
import {loadPublicKeys} from './load_public_keys';
import {loadTransportSecurity} from './load_transport_security';
import {nameSetting} from './name_setting';
import {peersSetting} from './peers_setting';
import {resolveSettings} from './resolve_settings';
import {commonSettings} from './common_settings';
import {listenSetting} from './listen_setting';

const DEFAULT_LEASE_MS = '5000';
const DEFAULT_SNAPSHOT_INTERVAL_ENTRIES = '4096';

const schema = z.object({
  name: nameSetting.describe(
    'name of this control process, the same after every restart',
  ),
  listen: listenSetting.describe(
    'address for all other processes, like 127.0.0.1:7000',
  ),
  dataFolder: z.string().min(1).describe('folder that survives restarts'),
  peers: peersSetting.describe(
    'the other control processes, like b=10.0.0.2:7000,c=10.0.0.3:7000',
  ),
  operatorKeys: z
    .string()
    .min(1)
    .describe('PEM files of operators’ public keys, comma-separated'),
  leaseMs: createIntegerSetting(1_000, 60_000)
    .prefault(DEFAULT_LEASE_MS)
    .describe(
      'how long hosts and entries work under a confirmed bundle, in milliseconds',
    ),
  snapshotEvery: createIntegerSetting(16, 1_000_000)
    .prefault(DEFAULT_SNAPSHOT_INTERVAL_ENTRIES)
    .describe('log entries between snapshots'),
  ...commonSettings.shape,
});

/**
 * Resolves the settings of `whinreel-control` and reads the files that they name.
 *
 * @throws UsageError when a setting is missing or invalid
 * @example
 * const {settings, logFormat} = resolveControlSettings(process.argv.slice(2), process.env);
 */
export function resolveControlSettings(
  args: readonly string[],
  env: Readonly<Record<string, string | undefined>>,
): {settings: ControlSettings; logFormat: 'json' | 'pretty'} {
  const summary =
    'Agrees with the other control processes on bundles, groups and claims.';
  const raw = resolveSettings({
    program: 'whinreel-control',
    summary,
    schema,
    args,
    env,
  });
  const {name, listen, dataFolder, peers, leaseMs, snapshotEvery, logFormat} =
    raw;
  const settings: ControlSettings = {
    name,
    host: listen.host,
    port: listen.port,
    dataFolder,
    peers,
    trustedKeys: loadPublicKeys(raw.operatorKeys),
    leaseMs,
    snapshotEvery,
    security: loadTransportSecurity(raw, listen.host),
  };
  return {settings, logFormat};
}
