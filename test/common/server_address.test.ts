import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {AddressError} from '../../src/common/address_error';
import {ServerAddress} from '../../src/common/server_address';
import {listMalformedAddresses} from '../faulty_input/malformed_addresses';

describe('the address of a server', () => {
  test.each([
    ['127.0.0.1:8080', '127.0.0.1', 8080],
    ['10.0.0.1:1', '10.0.0.1', 1],
    ['[::1]:65535', '::1', 65_535],
    ['[::FFFF:127.0.0.1]:80', '::ffff:7f00:1', 80],
    ['localhost:7000', 'localhost', 7_000],
    ['Node_1.rack-2.Example.:7000', 'node_1.rack-2.example.', 7_000],
    ['xn--bcher-kva.example:80', 'xn--bcher-kva.example', 80],
  ])('%s has a host and a port', (text, host, port) => {
    const address = ServerAddress.parse(text);

    expect(address).toMatchObject({host, port});
    expect(ServerAddress.parse(address.toString())).toEqual(address);
  });

  test.each([
    ...listMalformedAddresses(8_080),
    '',
    ':80',
    '127.0.0.1:',
    '127.0.0.1:0',
    '127.0.0.1:080',
    '127.0.0.1:+80',
    '127.0.0.1:8e3',
    '127.0.0.1:80 ',
    '127.0.0.1:80\n',
    '127.0.0.256:80',
    '127.0.0.01:80',
    '0x7f.1:80',
    '2130706433:80',
    'a..b:80',
    '-a:80',
    'user@host:80',
    'host/path:80',
    'host?x:80',
    'réseau:80',
    'xn--a:80',
    '[::1%eth0]:80',
    '[127.0.0.1]:80',
    '[]:80',
    `${'a'.repeat(64)}:80`,
    `${'a.'.repeat(127)}b:80`,
  ])('%j is refused with its text and the reason', text => {
    expect(() => ServerAddress.parse(text)).toThrow(
      JSON.stringify(text.slice(0, 100)),
    );
    expect(ServerAddress.find(text)).toBeUndefined();
  });

  test('to listen on may name port 0, which stands for any free port', () => {
    expect(ServerAddress.parseListener('127.0.0.1:0')).toEqual({
      host: '127.0.0.1',
      port: 0,
    });
    expect(ServerAddress.parseListener('[::]:8080')).toEqual({
      host: '::',
      port: 8_080,
    });
    expect(() => ServerAddress.parseListener('127.0.0.1:00')).toThrow(
      'its port is no number from 0 to 65535',
    );
  });

  test.each([
    ['http://localhost', 'localhost:80'],
    ['http://[::1]:9000/v1', '[::1]:9000'],
    ['http://10.1/', '10.0.0.1:80'],
  ])('in %s is %s', (url, text) => {
    expect(ServerAddress.parseUrl(url).toString()).toBe(text);
  });

  test.each(['http://a!b/', 'http://localhost:0/'])('in %s is refused', url => {
    expect(() => ServerAddress.parseUrl(url)).toThrow('is no address like');
  });

  test('is created from a host and a port', () => {
    expect(ServerAddress.create('::1', 80).toString()).toBe('[::1]:80');
    expect(ServerAddress.create('a', 1)).toEqual(ServerAddress.parse('a:1'));
    expect(() => ServerAddress.create('a b', 80)).toThrow(AddressError);
    expect(() => ServerAddress.create('a', 0)).toThrow(AddressError);
  });

  test('that is accepted always fits into a URL', () => {
    const part = fc.constantFrom(
      ...['127.0.0.1', '::1', '[', ']', '.', ':', '%', '@', '/', '-', '_'],
      ...['xn--', 'a', 'é', '0x1', '80', '65535', '00', ' ', '\0'],
    );
    const parts = fc.array(part, {maxLength: 8}).map(each => each.join(''));
    fc.assert(
      fc.property(fc.oneof(parts, fc.string({unit: 'grapheme'})), text => {
        const address = ServerAddress.find(text);
        if (address) {
          const {hostname, port} = new URL(`http://${address}`);
          const known = hostname.replace(/^\[|\]$/g, '');
          expect(known).toBe(address.host);
          expect(Number(port || 80)).toBe(address.port);
        }
      }),
      {seed: 71, numRuns: 20_000},
    );
  });
});
