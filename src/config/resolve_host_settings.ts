import {z} from 'zod';
import {HostSettings} from '../host/host_settings';
import {addressListSetting} from './address_list_setting';
import {addressSetting} from './address_setting';
import {loadTransportSecurity} from './load_transport_security';
import {nameSetting} from './name_setting';
import {resolveSettings} from './resolve_settings';
import {commonSettings} from './common_settings';
import {listenSetting} from './listen_setting';
import {stopWithinSetting} from './stop_within_setting';

const schema = z.object({
  hostId: nameSetting.describe('name of this host, unique in the fleet'),
  zone: nameSetting.describe('availability zone of this host'),
  domain: nameSetting.describe('fabric domain of this host'),
  listen: listenSetting.describe('address for entries and other members'),
  announceListen: listenSetting.describe(
    'address where the backend server announces itself',
  ),
  advertise: addressSetting
    .optional()
    .describe('address that others are told, when it is not --listen'),
  control: addressListSetting.describe(
    'addresses of the control processes, comma-separated',
  ),
  stopWithinMs: stopWithinSetting,
  ...commonSettings.shape,
});

/**
 * Resolves the settings of `whinreel-host` and reads the files that they name.
 *
 * @throws UsageError when a setting is missing or invalid
 * @example
 * const {settings, logFormat} = resolveHostSettings(process.argv.slice(2), process.env);
 */
export function resolveHostSettings(
  args: readonly string[],
  env: Readonly<Record<string, string | undefined>>,
): {settings: HostSettings; logFormat: 'json' | 'pretty'} {
  const summary =
    'Stands beside one backend server: member of a group, fence, runner of work.';
  const raw = resolveSettings({
    program: 'whinreel-host',
    summary,
    schema,
    args,
    env,
  });
  const {
    hostId,
    zone,
    domain,
    listen,
    announceListen,
    advertise,
    control,
    stopWithinMs,
    logFormat,
  } = raw;
  const settings: HostSettings = {
    hostId,
    zone,
    domain,
    host: listen.host,
    port: listen.port,
    advertise,
    announceHost: announceListen.host,
    announcePort: announceListen.port,
    control,
    stopWithinMs,
    security: loadTransportSecurity(raw, listen.host),
  };
  return {settings, logFormat};
}
