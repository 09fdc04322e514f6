import {describe, expect, test} from 'vitest';
import {resolveControlSettings} from '../../src/config/resolve_control_settings';
import {resolveEntrySettings} from '../../src/config/resolve_entry_settings';
import {resolveHostSettings} from '../../src/config/resolve_host_settings';

const ENTRY = ['--entry-id', 'e1', '--zone', 'z1', '--listen', '127.0.0.1:80'];
const CONTROL = ['--control', '127.0.0.1:7000,127.0.0.1:7001'];

describe('settings', () => {
  test('are read from flags and environment variables, and flags take precedence', () => {
    const env = {
      WHINREEL_ZONE: 'from-variable',
      WHINREEL_ENTRY_ID: 'from-variable',
    };
    const args = [
      '--entry-id',
      'from-flag',
      '--listen',
      '127.0.0.1:80',
      ...CONTROL,
    ];
    const {settings} = resolveEntrySettings(args, env);

    expect(settings).toMatchObject({
      entryId: 'from-flag',
      zone: 'from-variable',
      port: 80,
    });
    expect(settings.control.map(String)).toEqual([
      '127.0.0.1:7000',
      '127.0.0.1:7001',
    ]);
  });

  test.each([
    [[...ENTRY], '--control (or WHINREEL_CONTROL) is missing'],
    [
      ['--entry-id', 'e1', '--zone', 'z', '--listen', 'nowhere', ...CONTROL],
      '--listen (or WHINREEL_LISTEN) is "nowhere": expected an address like 127.0.0.1:7000',
    ],
    [
      [...ENTRY, '--control', '127.0.0.1'],
      '--control (or WHINREEL_CONTROL) is "127.0.0.1": expected addresses like 10.0.0.1:7000,10.0.0.2:7000',
    ],
    [[...ENTRY, ...CONTROL, '--speed', '9'], "unknown option '--speed'"],
    [
      [...ENTRY, ...CONTROL, '--log-format', 'xml'],
      '--log-format (or WHINREEL_LOG_FORMAT) is "xml": expected json or pretty',
    ],
    [
      [...ENTRY, ...CONTROL, '--tls-key', 'k.pem'],
      '--tls-authority, --tls-certificate and --tls-key go together',
    ],
  ])(
    'an invalid or missing setting is reported with its flag (%#)',
    (args, message) => {
      expect(() => resolveEntrySettings(args, {})).toThrow(message);
    },
  );

  test('plain TCP beyond loopback needs an explicit flag', () => {
    const args = [
      ...[
        '--host-id',
        'h1',
        '--zone',
        'z',
        '--domain',
        'd',
        '--listen',
        '10.0.0.5:7100',
      ],
      ...['--announce-listen', '127.0.0.1:7200', ...CONTROL],
    ];

    expect(() => resolveHostSettings(args, {})).toThrow(
      '10.0.0.5 is not a loopback address',
    );
    expect(
      resolveHostSettings([...args, '--allow-plain-tcp', 'true'], {}).settings
        .host,
    ).toBe('10.0.0.5');
  });

  test('duplicate peer names are rejected', () => {
    const args = [
      ...[
        '--name',
        'a',
        '--listen',
        '127.0.0.1:1',
        '--data-folder',
        'd',
        '--operator-keys',
        'k',
      ],
      ...['--peers', 'b=127.0.0.1:2,b=127.0.0.1:3'],
    ];

    expect(() => resolveControlSettings(args, {})).toThrow(
      'expected each name once',
    );
  });
});
