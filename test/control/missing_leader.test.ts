import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as net from 'node:net';
import * as path from 'node:path';
import {afterEach, describe, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {Timers} from '../../src/common/timers';
import {explainMissingLeader} from '../../src/control/explain_missing_leader';
import {MissingLeaderLog} from '../../src/control/missing_leader_log';
import {createProgram} from '../../src/operator/create_program';
import {QuorumStatus} from '../../src/protocol/quorum_status';
import {ControlDataFolder} from '../../src/state/control_data_folder';
import {reservePort} from '../support/reserve_port';
import {startSeededControl} from '../support/start_seeded_control';
import {waitUntil} from '../support/wait_until';

// Guards against a quorum without a leader of which no log says why.

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

/** Starts two of five voters; the others never listen. */
async function startTwoOfFive() {
  const names = await Promise.all(
    [1, 2, 3, 4, 5].map(async () => `127.0.0.1:${await reservePort()}`),
  );
  const folders = names.map(() =>
    mkdtempSync(path.join(tmpdir(), 'whinreel-missing-leader-')),
  );
  const identities = await Promise.all(
    names.map(async (name, at) => {
      const disk = await ControlDataFolder.create(folders[at], name);
      await disk.close();
      return disk.identity;
    }),
  );
  const voters = Object.fromEntries(
    names.map((name, at) => [name, identities[at]]),
  );
  const start = async (at: number) => {
    const disk = await ControlDataFolder.create(folders[at], names[at]);
    const state = new Uint8Array();
    await disk.snapshots.save({index: 7, term: 2, voters, state});
    await disk.close();
    const control = await startSeededControl({
      name: names[at],
      folder: folders[at],
      seeds: names.slice(0, 3),
    });
    closers.push(() => control.close());
    return control;
  };
  return {names, identities, controls: [await start(0), await start(1)]};
}

function createStatus(changes: Partial<QuorumStatus>): QuorumStatus {
  return {
    identity: 'a/1',
    role: 'pre-candidate',
    leader: null,
    leaderSilentMs: 5_000,
    term: 3,
    lastIndex: 9,
    lastTerm: 3,
    commitIndex: 8,
    voterSets: [['a/1', 'b/1', 'c/1']],
    peers: [],
    writePendingMs: 0,
    explanation: '',
    ...changes,
  };
}

describe('a quorum without a leader', () => {
  test('is explained by the log of any process in it', async () => {
    const {identities, controls} = await startTwoOfFive();
    const findLast = () =>
      controls[0].events
        .listSince(0)
        .filter(({type}) => type === 'no-leader')
        .at(-1);

    await waitUntil('a vote in the log', () =>
      String(findLast()?.details?.answers).includes('granted'),
    );

    const {reason, details} = findLast()!;
    expect(reason).toBe('no leader: 2 of 5 voters reachable, 3 needed');
    expect(details).toMatchObject({lastIndex: 7, lastTerm: 2, committed: 7});
    expect(details?.voters).toBe(identities.join(' '));
    expect(details?.answers).toContain(`${identities[1]} granted`);
    expect(details?.answers).toContain(`${identities[2]} none`);
    expect(details?.unreachable).toMatch(
      new RegExp(`${identities[4]} for \\d+ ms \\(cannot connect`),
    );
    expect(details?.unreachable).not.toContain(identities[1]);
  });

  test('is explained by the status command, which does not wait for a leader', async () => {
    const {names, identities, controls} = await startTwoOfFive();
    await waitUntil('a connection of the two', () =>
      controls.every(control =>
        control.describeQuorum().explanation.startsWith('no leader: 2 of 5'),
      ),
    );
    // Accepts and then says nothing, as a frozen process.
    const hanging: net.Socket[] = [];
    const frozen = net.createServer(socket => {
      hanging.push(socket.on('error', () => undefined).resume());
    });
    closers.push(
      () => frozen.close(),
      () => hanging.forEach(socket => socket.destroy()),
    );
    const [host, port] = names[4].split(':');
    await new Promise<void>(resolve =>
      frozen.listen(Number(port), host, () => resolve()),
    );
    let output = '';
    const program = createProgram({write: text => (output += text)});

    const call = program.parseAsync(
      ['--control', names.join(','), '--timeout-ms', '60000', 'status'],
      {from: 'user'},
    );

    await expect(call).rejects.toThrow(
      /^no leader: 2 of 5 voters reachable, 3 needed/,
    );
    expect(output).toContain(identities[0]);
    expect(output).toMatch(new RegExp(`${names[3]} .*not reachable`));
    expect(output).toMatch(new RegExp(`${names[4]} .*no answer in time`));
  });

  test('counts each voter set while a voter change is not committed', () => {
    const status = createStatus({
      voterSets: [
        ['a/1', 'b/1', 'c/1', 'd/1'],
        ['a/1', 'b/1', 'c/1', 'd/1', 'e/1'],
      ],
      peers: ['b/1', 'c/1', 'd/1', 'e/1'].map(identity => ({
        identity,
        isReachable: identity === 'b/1' || identity === 'e/1',
        sinceMs: 100,
      })),
    });

    expect(explainMissingLeader(status)).toBe(
      'no leader: 2 of 4 voters reachable, 3 needed; and 3 of 5 voters reachable, 3 needed',
    );
  });

  test('names refused votes, a slow disk and a process without a vote', () => {
    const peers = [
      {identity: 'b/1', isReachable: true, sinceMs: 1, vote: 'granted'},
      {identity: 'c/1', isReachable: true, sinceMs: 1, vote: 'a newer log'},
      {identity: 'd/1', isReachable: false, sinceMs: 1, vote: 'refused before'},
    ];

    expect(
      explainMissingLeader(createStatus({peers, writePendingMs: 2_000})),
    ).toBe(
      'no leader: 3 of 3 voters reachable, 2 needed; 1 refused their vote; a disk write takes 2000 ms',
    );
    expect(explainMissingLeader(createStatus({peers, identity: 'a/2'}))).toBe(
      'this process has no vote and no leader has contacted it: 2 of 3 voters reachable, 2 needed; 1 refused their vote',
    );
    expect(
      explainMissingLeader(createStatus({peers, voterSets: [], role: 'none'})),
    ).toBe(
      'no leader: this process has an empty disk and knows no quorum, 2 of 3 other processes reachable',
    );
  });

  test('is written down once a second, and rarely after the first minute', () => {
    const events = EventRing.create();
    let tick: () => void = () => undefined;
    const timers: Timers = {
      repeat: (_ms, callback) => {
        tick = callback;
        return () => undefined;
      },
      delay: () => () => undefined,
      defer: () => undefined,
    };
    let explanation = 'no leader';
    MissingLeaderLog.create({
      events,
      timers,
      describeQuorum: () => createStatus({explanation}),
    });
    const tickFor = (seconds: number) => {
      const before = events.listSince(0).length;
      Array.from({length: seconds}, () => tick());
      return events.listSince(0).length - before;
    };

    expect(tickFor(60)).toBe(60);
    expect(tickFor(600)).toBe(60);
    explanation = '';
    expect(tickFor(10)).toBe(0);
    explanation = 'no leader';
    expect(tickFor(5)).toBe(5);
  });
});
