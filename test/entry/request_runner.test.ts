import * as http from 'node:http';
import {AddressInfo} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {systemClock} from '../../src/common/system_clock';
import {CallerRequest} from '../../src/entry/caller_request';
import {CallerResponse} from '../../src/entry/caller_response';
import {HostConnections} from '../../src/entry/host_connections';
import {IdempotencyClaims} from '../../src/entry/idempotency_claims';
import {RequestRunner} from '../../src/entry/request_runner';
import {RoutingTable} from '../../src/entry/routing_table';
import {ControlClient} from '../../src/protocol/control_client';
import {Group} from '../../src/protocol/group';
import {RequestMessage} from '../../src/protocol/request_message';
import {call} from '../support/caller';
import {FakeHost} from '../support/fake_host';
import {waitUntil} from '../support/wait_until';

const identity = {program: 'entry', id: 'e', incarnation: 'i'} as const;
const EVENTS = {'content-type': 'text/event-stream'};
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

function createGroup(id: string, address: string): Group {
  const members = [{hostId: id, incarnation: 'fake', address}];
  const place = {kind: 'model', name: 'm', domain: 'd', zone: 'z'} as const;
  return {id, epoch: 1, fencing: 1, ...place, members, isDraining: false};
}

/** Starts a runner for the given hosts, which are the only replicas of every request. */
async function startRunner(hosts: readonly FakeHost[]) {
  const connections = HostConnections.create({identity, clock: systemClock});
  const groups = hosts.map((host, at) => createGroup(`g${at}`, host.address));
  connections.setAddresses(hosts.map(host => host.address));
  await waitUntil('connections', () =>
    hosts.every(host => connections.find(host.address)),
  );
  const runner = RequestRunner.create({
    clock: systemClock,
    table: {groups} as unknown as RoutingTable,
    connections,
    claims: IdempotencyClaims.create({
      client: ControlClient.create({addresses: [], identity}),
      connections,
    }),
    // Always chooses the first replica that was not tried.
    random: () => 0,
  });
  const createRequest = (changes: Partial<CallerRequest>): CallerRequest => ({
    requestId: 'r',
    workspace: 'w',
    priority: 5,
    kind: 'model',
    name: 'm',
    method: 'POST',
    path: '/',
    headers: {},
    body: Buffer.from('body'),
    isRepeatable: true,
    idempotencyKey: 'r',
    deadline: systemClock.now() + 5_000,
    ...changes,
  });
  const requests: CallerRequest[] = [];
  const server = http.createServer((_, response) => {
    const request = requests.shift() as CallerRequest;
    void runner.run(request, CallerResponse.create(response));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(
    () => connections.close(),
    () => server.close(),
  );
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
  const send = (changes: Partial<CallerRequest> = {}) => {
    requests.push(createRequest(changes));
    return call({url, method: 'POST', headers: {}, body: ''});
  };
  return {send};
}

/** Runs one request on the given hosts, which are its only replicas. */
async function sendRequest(
  hosts: readonly FakeHost[],
  changes: Partial<CallerRequest> = {},
) {
  const {send} = await startRunner(hosts);
  return send(changes);
}

async function createHost(
  ...args: Parameters<typeof FakeHost.create>
): Promise<FakeHost> {
  const host = await FakeHost.create(...args);
  closers.push(() => host.close());
  return host;
}

function data(stream: number, sequence: number, text: string): RequestMessage {
  return {
    type: 'data',
    stream,
    sequence,
    bytes: Buffer.from(`data: ${text}\n\n`),
  };
}

function end(stream: number, frames: number): RequestMessage {
  return {type: 'end', stream, frames, outcome: 'answered', reason: ''};
}

describe('a response', () => {
  test('whose frames are lost, repeated or reordered never ends as complete', async () => {
    const orders = [
      [0, 2],
      [0, 0, 1],
      [1, 0, 2],
      [0, 1],
    ];
    for (const order of orders) {
      const host = await createHost((dispatch, send) => {
        const {stream} = dispatch;
        send({type: 'head', stream, status: 200, headers: EVENTS});
        order.forEach(sequence => send(data(stream, sequence, `t${sequence}`)));
        send(end(stream, 3));
      });
      const answer = await sendRequest([host], {isRepeatable: true});

      expect(answer.outcome, String(order)).toBe('failed');
      expect(answer.text, String(order)).toMatch(/"outcome":"failed"/);
    }
  });

  test('ignores late frames of an abandoned attempt', async () => {
    const lateSends: Array<() => void> = [];
    const first = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      send({type: 'head', stream, status: 200, headers: EVENTS});
      send(data(stream, 0, 'a'));
      send(data(stream, 5, 'gap'));
      lateSends.push(() => {
        send(data(stream, 1, 'late'));
        send(end(stream, 2));
      });
    });
    const second = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      const resumed = {...EVENTS, 'whinreel-resumed-from': '1'};
      lateSends.forEach(send => send());
      setTimeout(() => {
        send({type: 'head', stream, status: 200, headers: resumed});
        send(data(stream, 0, 'b'));
        send(data(stream, 1, '[DONE]'));
        send(end(stream, 2));
      }, 50);
    });
    const answer = await sendRequest([first, second]);

    expect(second.dispatches[0].headers).toEqual({
      'whinreel-resume-after': '1',
    });
    expect(answer.text).toBe('data: a\n\ndata: b\n\ndata: [DONE]\n\n');
    expect(answer.outcome).toBe('answered');
  });

  test('is not continued by a replica that starts from the beginning', async () => {
    const first = await createHost((dispatch, send, peer) => {
      const {stream} = dispatch;
      send({type: 'head', stream, status: 200, headers: EVENTS});
      send(data(stream, 0, 'a'));
      peer.end();
    });
    const second = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      send({type: 'head', stream, status: 200, headers: EVENTS});
      send(data(stream, 0, 'a'));
      send(end(stream, 1));
    });
    const answer = await sendRequest([first, second]);

    expect(answer.text.match(/data: a/g)).toHaveLength(1);
    expect(answer.text).toContain('event: error\n');
  });
});

const breakAfterHead: Parameters<typeof FakeHost.create>[0] = (
  dispatch,
  send,
) => {
  const {stream} = dispatch;
  const headers = {...EVENTS, 'x-of-first': 'a', 'whinreel-request-id': 'b'};
  send({type: 'head', stream, status: 200, headers});
  send({type: 'end', stream, frames: 0, outcome: 'failed', reason: 'broke'});
};

describe('the head of a response', () => {
  // Headers of a failed attempt were sent with the response to the next one.
  test('has no header of an earlier attempt', async () => {
    const first = await createHost(breakAfterHead);
    const second = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      send({type: 'head', stream, status: 200, headers: {'x-of-second': 'c'}});
      send(data(stream, 0, 'a'));
      send(end(stream, 1));
    });
    const answer = await sendRequest([first, second]);

    expect(answer.text).toBe('data: a\n\n');
    expect(answer.headers).toMatchObject({'x-of-second': 'c'});
    expect(Object.keys(answer.headers)).not.toContain('x-of-first');
    expect(Object.keys(answer.headers)).not.toContain('trailer');
  });

  // A backend server could replace the id of the request and promise that it did not run.
  test('takes the outcome and the id of the request from no backend server', async () => {
    const host = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      const headers = {
        ...EVENTS,
        'whinreel-outcome': 'not-run',
        'whinreel-request-id': 'other',
      };
      send({type: 'head', stream, status: 200, headers});
      send(data(stream, 0, '[DONE]'));
      send(end(stream, 1));
    });
    const answer = await sendRequest([host]);

    expect(answer.outcome).toBe('answered');
    expect(
      Object.keys(answer.headers).filter(name => name.startsWith('whinreel')),
    ).toEqual([]);
  });

  // Node.js threw for a trailer that a whole body cannot have, and the host was disconnected.
  test('announces no trailer of a backend server', async () => {
    const host = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      send({type: 'head', stream, status: 200, headers: {trailer: 'x'}});
      send(data(stream, 0, 'a'));
      send(end(stream, 1));
    });
    const answer = await sendRequest([host]);

    expect(answer.text).toBe('data: a\n\n');
    expect(answer.outcome).toBe('answered');
  });

  // An error while one response was written closed the connection of all others to the host.
  const INVALID_HEADS: ReadonlyArray<{
    status: number;
    headers: Record<string, string>;
  }> = [
    {status: 99, headers: {}},
    {status: 200, headers: {x: 'line\nbreak'}},
    {status: 200, headers: {x: '\u2713'}},
    {status: 200, headers: {'not a name': 'x'}},
  ];
  test.for(INVALID_HEADS)(
    'that HTTP does not allow fails its own attempt only: %o',
    async head => {
      let finishOther: (() => void) | undefined;
      const host = await createHost((dispatch, send) => {
        const {stream} = dispatch;
        if (!finishOther) {
          finishOther = () => {
            send({type: 'head', stream, status: 200, headers: {}});
            send(end(stream, 0));
          };
          return;
        }
        send({type: 'head', stream, ...head});
        send(end(stream, 0));
      });
      const {send} = await startRunner([host]);
      const other = send({requestId: 'other'});
      await waitUntil('the other request', () => finishOther);
      const answer = await send({requestId: 'r'});
      finishOther?.();

      expect(answer.outcome).toBe('failed');
      expect((await other).outcome).toBe('answered');
    },
  );
});

describe('a request', () => {
  test('that one replica refused runs on the next one under another attempt id', async () => {
    const refusing = await createHost((dispatch, send) => {
      send({
        type: 'refused',
        stream: dispatch.stream,
        reason: 'full',
        retryAfterMs: 100,
      });
    });
    const answering = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      send({type: 'head', stream, status: 200, headers: {}});
      send(end(stream, 0));
    });
    const answer = await sendRequest([refusing, answering]);

    expect(answer.outcome).toBe('answered');
    const attempts = [refusing, answering].map(
      host => host.dispatches[0].attemptId,
    );
    expect(attempts).toEqual(['r.1', 'r.2']);
  });

  test('that every replica refused is answered not-run', async () => {
    const refuse: Parameters<typeof FakeHost.create>[0] = (dispatch, send) => {
      send({
        type: 'refused',
        stream: dispatch.stream,
        reason: 'full',
        retryAfterMs: 2_500,
      });
    };
    const answer = await sendRequest([
      await createHost(refuse),
      await createHost(refuse),
    ]);

    expect([answer.status, answer.outcome]).toEqual([503, 'not-run']);
  });

  test('that may have run on one replica is not answered not-run after another refused it', async () => {
    const breaking = await createHost((_dispatch, _send, peer) => peer.close());
    const refusing = await createHost((dispatch, send) => {
      send({
        type: 'refused',
        stream: dispatch.stream,
        reason: 'full',
        retryAfterMs: 100,
      });
    });
    const answer = await sendRequest([breaking, refusing]);

    expect(answer.outcome).toBe('unknown');
  });

  test('whose deadline passes is answered unknown, and its attempt is cancelled', async () => {
    const silent = await createHost(() => undefined);
    const answer = await sendRequest([silent], {
      deadline: systemClock.now() + 300,
    });

    expect(answer.outcome).toBe('unknown');
    await waitUntil('the cancel', () =>
      silent.messages.some(({type}) => type === 'cancel'),
    );
  });
});
