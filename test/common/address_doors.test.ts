/**
 * Guards against doors that disagree about what an address is: a text that one took was
 * refused by another, or made connecting by it throw where nobody expected that.
 */
import dns from 'node:dns';
import * as net from 'node:net';
import * as fc from 'fast-check';
import {afterAll, beforeAll, expect, test, vi} from 'vitest';
import {decodeRegistration} from '../../platform/decode_registration';
import {PlatformError} from '../../platform/platform_error';
import {EventRing} from '../../src/common/event_ring';
import {ServerAddress} from '../../src/common/server_address';
import {addressListSetting} from '../../src/config/address_list_setting';
import {addressSetting} from '../../src/config/address_setting';
import {peersSetting} from '../../src/config/peers_setting';
import {BackendRegistry} from '../../src/control/backend_registry';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {RegistrationService} from '../../src/control/registration_service';
import {parseTargets} from '../../src/gateway/control/parse_targets';
import {BackendAnnouncement} from '../../src/protocol/backend_announcement';
import {connectPeer} from '../../src/protocol/connect_peer';
import {parseAddresses} from '../../src/protocol/parse_addresses';
import {callOnNewConnection} from '../../src/transport/call_on_new_connection';
import {HttpClientPool} from '../../src/transport/http_client_pool';
import {probeListener} from '../../src/transport/probe_listener';
import {ServerWitness} from '../../src/transport/server_witness';
import {listMalformedAddresses} from '../faulty_input/malformed_addresses';

/** Returns the address that a door makes of a text; undefined if it refuses the text. */
type Door = (
  text: string,
) => ServerAddress | undefined | Promise<ServerAddress | undefined>;

const REGISTRATION = {
  service: 's',
  zone: 'z',
  state: 'ready',
  sequence: 1,
};

async function registerAtLeader(
  text: string,
): Promise<ServerAddress | undefined> {
  const registry = BackendRegistry.create();
  const service = RegistrationService.create({
    settings: {} as never,
    runtime: {
      state: {channel: {}, engines: {isRetired: () => false}},
    } as unknown as RaftRuntime,
    registry,
    cold: {isLimitedPool: () => false, recordRegistration: () => undefined},
    clock: {now: () => 0},
    events: EventRing.create(),
    notify: () => undefined,
  });
  const answer = await service.register({
    type: 'registration-ask',
    call: 1,
    registration: {
      incarnation: 'i',
      pool: 'p',
      address: text,
      zone: 'z',
      isLeaving: false,
      sequence: 1,
      slots: 1,
      stagedModels: [],
    },
  });
  const known = registry.find('i')?.registration.address;
  expect(known === undefined).toBe('refusal' in answer);
  return known === undefined ? undefined : ServerAddress.parse(known);
}

const DOORS: Readonly<Record<string, Door>> = {
  'a registration at the platform': text => {
    const body = JSON.stringify({...REGISTRATION, address: text});
    try {
      return ServerAddress.parse(decodeRegistration('i', body).address);
    } catch (error) {
      expect(error).toBeInstanceOf(PlatformError);
      return undefined;
    }
  },
  'a registration at the leader': registerAtLeader,
  'a target of a gateway': text => {
    const target = {
      incarnation: 'i',
      pool: 'p',
      address: text,
      zone: 'z',
      slots: 1,
    };
    const {targets, malformed} = parseTargets([target]);
    expect(targets.length + malformed.length).toBe(1);
    return targets[0]?.address;
  },
  'a control process in an answer': text => parseAddresses([text])[0],
  'a flag': text => addressSetting.safeParse(text).data,
  'a flag with a list': text => addressListSetting.safeParse(text).data?.[0],
  'a flag with peers': text =>
    peersSetting.safeParse(`a=${text}`).data?.get('a'),
};

/** Parts of addresses and of what is mistaken for one; no list, as two doors take lists. */
const part = fc.constantFrom(
  ...['127.0.0.1', '127.1', '::1', '[::1]', '[', ']', '.', ':', '%', '@', '/'],
  ...['-', '_', 'xn--', 'a', 'localhost', 'é', '0x1', '00', ' ', '\0', '\n'],
  ...[
    ':1',
    ':80',
    ':65535',
    ':65536',
    ':0',
    ':-1',
    ':1e3',
    'http://',
    '?',
    '#',
  ],
);
const text = fc
  .oneof(
    fc.array(part, {maxLength: 6}).map(parts => parts.join('')),
    fc.constantFrom(...listMalformedAddresses(8_080)),
    fc
      .tuple(
        fc.constantFrom('127.0.0.1', '[::1]', 'localhost', 'a.b', '1.2.3.4'),
        fc.integer({min: -1, max: 70_000}),
      )
      .map(([host, port]) => `${host}:${port}`),
    fc.string({unit: 'binary'}),
  )
  .filter(each => !each.includes(','));

test.each(Object.entries(DOORS))(
  '%s takes exactly the texts that are addresses',
  async (_, open) => {
    let takenCount = 0;
    await fc.assert(
      fc.asyncProperty(text, async each => {
        const taken = await open(each);
        const address = ServerAddress.find(each);
        expect(taken?.toString()).toBe(address?.toString());
        takenCount += taken ? 1 : 0;
      }),
      {seed: 71, numRuns: 3_000},
    );
    expect(takenCount).toBeGreaterThan(300);
  },
);

test('an announced URL is refused, or names an address', () => {
  fc.assert(
    fc.property(text, each => {
      const url = `http://${each}`;
      const announcement = {kind: 'model', name: 'm', url};
      if (BackendAnnouncement.safeParse(announcement).success) {
        expect(() => ServerAddress.parseUrl(url)).not.toThrow();
      }
    }),
    {seed: 71, numRuns: 5_000},
  );
});

const identity = {program: 'gateway', id: 'g', incarnation: 'i'} as const;

/** Ways to connect; each settles, with an answer or an error that its caller handles. */
const WAYS: Readonly<
  Record<string, (address: ServerAddress) => Promise<unknown>>
> = {
  'a request': address =>
    new Promise<void>(resolve => {
      const pool = HttpClientPool.create();
      const end = () => void pool.close().then(resolve);
      const handle = pool.call(
        {
          id: 'q',
          address,
          method: 'GET',
          path: '/',
          headers: [],
          body: null,
          maxConnections: 1,
        },
        {
          onSent: () => true,
          onHead: () => undefined,
          onData: () => undefined,
          onEnd: end,
          onError: end,
        },
      );
      setTimeout(handle.abort, ABORT_MS);
    }),
  'a call': address =>
    callOnNewConnection({
      address,
      method: 'GET',
      path: '/',
      timeoutMs: ABORT_MS,
      maxAnswerBytes: 1_000,
    }).catch((error: Error) => expect(error.name).toBe('VError')),
  'a probe': address => probeListener(address),
  'a witness': async address => {
    const witness = ServerWitness.create(address);
    await witness.check();
    witness.close();
  },
  'a peer': address =>
    connectPeer(address, identity, undefined, ABORT_MS).then(
      peer => peer.close(),
      (error: Error) => expect(error.name).toBe('VError'),
    ),
};
const ABORT_MS = 200;
/** No other program of a test machine listens on them. */
const UNUSED_PORTS = [1, 80];

let server: net.Server;

beforeAll(async () => {
  server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.end();
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  // No name is looked up; all of them are the loopback address.
  vi.spyOn(dns, 'lookup').mockImplementation(((
    _name: string,
    options: dns.LookupOptions,
    callback: (...result: unknown[]) => void,
  ) =>
    process.nextTick(() =>
      options.all
        ? callback(null, [{address: '127.0.0.1', family: 4}])
        : callback(null, '127.0.0.1', 4),
    )) as never);
});

afterAll(() => {
  vi.restoreAllMocks();
  server.close();
});

test.each(Object.entries(WAYS))(
  '%s by a text that is taken never throws',
  async (_, connect) => {
    const {port} = server.address() as net.AddressInfo;
    let connectedCount = 0;
    await fc.assert(
      fc.asyncProperty(text, async each => {
        const address = ServerAddress.find(each);
        // Only loopback is connected to, and no port that may be another program's.
        const isLocal =
          address &&
          (!net.isIP(address.host) || /^(127\.|::1$)/.test(address.host));
        if (isLocal) {
          connectedCount += 1;
          const isPort = address.port > 0 && address.port <= 65_535;
          const isUsed = isPort && !UNUSED_PORTS.includes(address.port);
          await connect(isUsed ? address.replacePort(port) : address);
        }
      }),
      {seed: 71, numRuns: 300},
    );
    expect(connectedCount).toBeGreaterThan(30);
  },
);
