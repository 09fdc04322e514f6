import {z} from 'zod';
import {EntrySettings} from '../entry/entry_settings';
import {addressListSetting} from './address_list_setting';
import {loadTransportSecurity} from './load_transport_security';
import {nameSetting} from './name_setting';
import {resolveSettings} from './resolve_settings';
import {commonSettings} from './common_settings';
import {listenSetting} from './listen_setting';
import {stopWithinSetting} from './stop_within_setting';

const LOOPBACK = '127.0.0.1';

const schema = z.object({
  entryId: nameSetting.describe('name of this entry, unique in the fleet'),
  zone: nameSetting.describe('availability zone of this entry'),
  listen: listenSetting.describe(
    'address for callers, behind the platform’s balancer',
  ),
  control: addressListSetting.describe(
    'addresses of the control processes, comma-separated',
  ),
  stopWithinMs: stopWithinSetting,
  ...commonSettings.shape,
});

/**
 * Resolves the settings of `whinreel-entry` and reads the files that they name.
 *
 * @throws UsageError when a setting is missing or invalid
 * @example
 * const {settings, logFormat} = resolveEntrySettings(process.argv.slice(2), process.env);
 */
export function resolveEntrySettings(
  args: readonly string[],
  env: Readonly<Record<string, string | undefined>>,
): {settings: EntrySettings; logFormat: 'json' | 'pretty'} {
  const summary =
    'Takes callers’ requests: admits, routes, streams answers, retries.';
  const raw = resolveSettings({
    program: 'whinreel-entry',
    summary,
    schema,
    args,
    env,
  });
  const {entryId, zone, listen, control, stopWithinMs, logFormat} = raw;
  const settings: EntrySettings = {
    entryId,
    zone,
    host: listen.host,
    port: listen.port,
    control,
    stopWithinMs,
    // An entry accepts only HTTP connections from callers, none from other processes of the fleet.
    security: loadTransportSecurity(raw, LOOPBACK),
  };
  return {settings, logFormat};
}
