/**
 * Guards against a control process that a malformed address of another one ends or keeps
 * from its quorum. It may stand in the log, in a snapshot, or in what another process says.
 */
import {afterEach, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {ServerAddress} from '../../src/common/server_address';
import {systemClock} from '../../src/common/system_clock';
import {ControlConnections} from '../../src/control/control_connections';
import {ControlServer} from '../../src/control/control_server';
import {connectPeer} from '../../src/protocol/connect_peer';
import {splitIdentity} from '../../src/protocol/split_identity';
import {ControlDataFolder} from '../../src/state/control_data_folder';
import {listMalformedAddresses} from '../faulty_input/malformed_addresses';
import {createVoterMachine} from '../support/create_voter_machine';
import {startSeededControl} from '../support/start_seeded_control';
import {waitUntil} from '../support/wait_until';

const MALFORMED = listMalformedAddresses(8_080);
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

type Machine = Awaited<ReturnType<typeof createVoterMachine>>;

/** Writes a snapshot whose voters are the machines and these names. */
async function writeSnapshot(
  {folder, name}: Machine,
  machines: readonly Machine[],
  names: readonly string[],
): Promise<void> {
  const disk = await ControlDataFolder.create(folder, name);
  const voters = Object.fromEntries([
    ...machines.map(machine => [machine.name, machine.identity]),
    ...names.map(other => [other, `${other}/d15c`]),
  ]);
  const state = new Uint8Array();
  await disk.snapshots.save({index: 0, term: 0, voters, state});
  await disk.close();
}

async function start({name, folder}: Machine): Promise<ControlServer> {
  const control = await startSeededControl({
    name,
    folder,
    seeds: [name],
    voters: 3,
  });
  closers.push(() => control.close());
  return control;
}

function listLeftOut(events: EventRing) {
  return events
    .listSince(0)
    .filter(({type}) => type === 'control-address-left-out');
}

test.each(MALFORMED)(
  'two voters elect a leader beside one with the address %j on their disks',
  async text => {
    const machines = await Promise.all([1, 2].map(() => createVoterMachine()));
    await Promise.all(
      machines.map(machine => writeSnapshot(machine, machines, [text])),
    );
    const controls = await Promise.all(machines.map(start));
    // A name ends at the first slash of an identity.
    const {name: connected} = splitIdentity(`${text}/d15c`);

    await waitUntil('a leader', () =>
      controls.some(({isLeading}) => isLeading),
    );
    for (const control of controls) {
      const known = control.listControlAddresses().map(String);
      expect(known.sort()).toEqual(machines.map(({name}) => name).sort());
      expect(listLeftOut(control.events)[0]).toMatchObject({
        subject: 'control',
        reason: expect.stringContaining(JSON.stringify(connected)),
      });
      expect(control.describeQuorum().peers).toContainEqual(
        expect.objectContaining({isReachable: false}),
      );
    }
  },
);

test('a process that names itself by a malformed address is answered, and gets no connection back', async () => {
  const machine = await createVoterMachine();
  const control = await start(machine);
  for (const text of MALFORMED) {
    const id = `${text}/d15c`;
    const peer = await connectPeer(ServerAddress.parse(machine.name), {
      program: 'control',
      id,
      incarnation: 'i',
    });
    closers.push(() => peer.close());
    const answers: string[] = [];
    void peer.messages.observe(({type}) => answers.push(type));
    peer.send({type: 'formation-ask', identity: id});
    await waitUntil('an answer', () => answers.includes('formation-answer'));
  }
  expect(listLeftOut(control.events)).not.toEqual([]);
});

test('connections to processes with malformed addresses are reported and not tried', () => {
  const reasons: string[] = [];
  const connections = ControlConnections.create({
    identity: {program: 'control', id: 'c', incarnation: 'i'},
    addresses: new Map(),
    clock: systemClock,
    onMessage: () => undefined,
    onFailure: () => undefined,
    onMalformedAddress: error => reasons.push(error.message),
  });
  closers.push(() => connections.close());
  MALFORMED.forEach(text => connections.add(text, text));

  expect(connections.listNames()).toEqual([]);
  expect(reasons).toHaveLength(MALFORMED.length);
});
