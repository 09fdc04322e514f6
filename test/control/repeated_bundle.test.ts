/**
 * A client that changes the rules retries its call at any control process, until it gets an
 * answer. The leader appended the bundle to its log for each call: a change that took longer
 * than the timeout of a call was proposals and replicated again and again, which slowed down
 * the following calls even more.
 */
import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {BackendRegistry} from '../../src/control/backend_registry';
import {ChangeSignal} from '../../src/control/change_signal';
import {ControlSettings} from '../../src/control/control_settings';
import {GatewayService} from '../../src/control/gateway_service';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {ChannelBundle} from '../../src/protocol/channel_bundle';
import {CommandResult} from '../../src/state/command_result';

const BUNDLE: ChannelBundle = {
  channel: 'operators',
  source: 'source',
  rules: {
    version: 3,
    routes: [],
    pools: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  },
};

function create() {
  const proposed: Array<(result: CommandResult) => void> = [];
  const runtime = {
    state: {channel: {version: 2}},
    raft: {commitIndex: 1, listVotersAt: () => new Map([['c', 'c/1']])},
    leadingSince: 0,
    propose: () => new Promise(resolve => proposed.push(resolve)),
  } as unknown as RaftRuntime;
  const service = GatewayService.create({
    settings: {trustedChannels: ['operators']} as unknown as ControlSettings,
    runtime,
    registry: BackendRegistry.create(),
    clock: {now: () => 10_000},
    signal: ChangeSignal.create(),
    events: EventRing.create(),
    identity: 'c/1',
  });
  const accept = (call: number, bundle = BUNDLE) =>
    service.handlers['channel-bundle-ask']({
      type: 'channel-bundle-ask',
      call,
      bundle,
    });
  return {proposed, accept};
}

test('a bundle that is sent again before it is committed is proposed once, and each call is answered', async () => {
  const {proposed, accept} = create();

  const answers = [accept(1), accept(2)];
  await Promise.resolve();
  const proposals = proposed.length;
  proposed.forEach(settle => settle({isAccepted: true, reason: 'in force'}));

  expect(proposals).toBe(1);
  expect(
    (await Promise.all(answers)).map(answer => 'call' in answer && answer.call),
  ).toEqual([1, 2]);
});

test('different content with the same version is proposed separately', async () => {
  const {proposed, accept} = create();

  const answers = [accept(1), accept(2, {...BUNDLE, source: 'other'})];
  await Promise.resolve();
  const proposals = proposed.length;
  proposed.forEach(settle => settle({isAccepted: true, reason: 'in force'}));
  await Promise.all(answers);

  expect(proposals).toBe(2);
});

test('a version that is not newer than the one in force is acknowledged without a proposal', async () => {
  const {proposed, accept} = create();
  const older = {...BUNDLE, rules: {...BUNDLE.rules, version: 2}};

  const answer = accept(1, older);
  await Promise.resolve();
  const proposals = proposed.length;
  proposed.forEach(settle => settle({isAccepted: false, reason: ''}));

  expect(proposals).toBe(0);
  expect(await answer).toMatchObject({version: 2});
});
