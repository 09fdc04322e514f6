/** An entry's request runner behind an HTTP server, for tests with fake hosts. */
import * as http from 'node:http';
import {AddressInfo} from 'node:net';
import {systemClock} from '../../src/common/system_clock';
import {CallerRequest} from '../../src/entry/caller_request';
import {CallerResponse} from '../../src/entry/caller_response';
import {HostConnections} from '../../src/entry/host_connections';
import {IdempotencyClaims} from '../../src/entry/idempotency_claims';
import {RequestRunner} from '../../src/entry/request_runner';
import {RoutingTable} from '../../src/entry/routing_table';
import {ControlClient} from '../../src/protocol/control_client';
import {Group} from '../../src/protocol/group';
import {call} from './caller';
import {FakeHost} from './fake_host';
import {waitUntil} from './wait_until';

const identity = {program: 'entry', id: 'e', incarnation: 'i'} as const;

function createGroup(id: string, address: string): Group {
  const members = [{hostId: id, incarnation: 'fake', address}];
  const place = {kind: 'model', name: 'm', domain: 'd', zone: 'z'} as const;
  return {id, epoch: 1, fencing: 1, ...place, members, isDraining: false};
}

/** Starts a runner for the given hosts, which are the only replicas of every request; `claims` replaces a control that never answers. */
export async function startEntryRunner(
  hosts: readonly FakeHost[],
  claims?: IdempotencyClaims,
) {
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
    claims:
      claims ??
      IdempotencyClaims.create({
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
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
  const send = (changes: Partial<CallerRequest> = {}) => {
    requests.push(createRequest(changes));
    return call({url, method: 'POST', headers: {}, body: ''});
  };
  const close = () => {
    connections.close();
    server.close();
  };
  return {send, close};
}
