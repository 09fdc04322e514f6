import {describe, expect, test} from 'vitest';
import {ChannelBundle} from '../../src/protocol/channel_bundle';
import {ControlCommand} from '../../src/protocol/control_command';
import {EngineGroup} from '../../src/protocol/engine_group';
import {GatewayRules} from '../../src/protocol/gateway_rules';
import {ClusterState} from '../../src/state/cluster_state';

const LIMITS: GatewayRules['limits'] = {
  maxHeaderBytes: 1,
  maxBodyBytes: 1,
  headerTimeoutMs: 1,
  idleTimeoutMs: 1,
};

/** Creates a state, and a function that applies commands at consecutive log indexes. */
function createState() {
  const state = ClusterState.create();
  let index = 0;
  const apply = (command: ControlCommand) => {
    index += 1;
    return state.apply({index, term: 1, command});
  };
  return {state, apply};
}

function accept(version: number, source = `v${version}`): ControlCommand {
  const rules = {version, routes: [], pools: [], limits: LIMITS};
  const bundle: ChannelBundle = {channel: 'c', source, rules};
  return {type: 'accept-channel-bundle', time: 0, bundle};
}

function set(name: string, members: readonly string[]): ControlCommand {
  const group: EngineGroup = {
    name,
    epoch: 0,
    pool: 'p',
    model: 'm',
    domain: 'd',
    members: members.map(incarnation => ({incarnation, address: 'a:1'})),
    isEnding: false,
    isReleased: false,
  };
  return {type: 'set-engine-group', time: 0, group, reason: 'test'};
}

function change(
  type: 'end-engine-group' | 'release-engine-group' | 'remove-engine-group',
  name: string,
  epoch: number,
): ControlCommand {
  return {type, time: 0, name, epoch, reason: 'test'};
}

describe('the channel bundle table', () => {
  test('keeps the highest version, whatever the order of arrival', () => {
    const {state, apply} = createState();
    expect(apply(accept(7)).isAccepted).toBe(true);
    expect(apply(accept(5)).isAccepted).toBe(false);
    expect(state.channel.version).toBe(7);
  });

  test('ignores other content under the version in force', () => {
    const {state, apply} = createState();
    apply(accept(7, 'first'));
    apply(accept(7, 'second'));
    expect(state.channel.source).toBe('first');
  });

  test('restores the source byte for byte from a snapshot', () => {
    const {state, apply} = createState();
    apply(accept(7, '{"version": 7 }'));
    const restored = ClusterState.create(state.save());
    expect(restored.channel.source).toBe('{"version": 7 }');
    expect(restored.channel.rules?.version).toBe(7);
  });
});

describe('the engine group table', () => {
  test('sets the log index as the epoch of a group', () => {
    const {state, apply} = createState();
    apply(accept(1));
    apply(set('g', ['a', 'b']));
    expect(state.engines.list()[0].epoch).toBe(2);
  });

  test('refuses a group that shares a member with another', () => {
    const {state, apply} = createState();
    apply(set('g', ['a', 'b']));
    expect(apply(set('h', ['b', 'c'])).isAccepted).toBe(false);
    expect(state.engines.list()).toHaveLength(1);
  });

  test('changes a group only under its current epoch', () => {
    const {state, apply} = createState();
    apply(set('g', ['a', 'b']));
    apply(set('g', ['a', 'c']));
    expect(apply(change('remove-engine-group', 'g', 1)).isAccepted).toBe(false);
    expect(apply(change('end-engine-group', 'g', 1)).isAccepted).toBe(false);
    apply(change('end-engine-group', 'g', 2));
    apply(change('release-engine-group', 'g', 2));
    expect(state.engines.list()[0]).toMatchObject({
      isEnding: true,
      isReleased: true,
    });
  });

  test('restores groups and retired backend servers from a snapshot', () => {
    const {state, apply} = createState();
    apply(set('g', ['a', 'b']));
    const incarnation = 'x';
    apply({type: 'retire-backend', time: 0, incarnation, reason: 'test'});
    const restored = ClusterState.create(state.save());
    expect(restored.engines.list()).toEqual(state.engines.list());
    expect(restored.engines.isRetired('x')).toBe(true);
  });

  test('records accepted changes in the journal', () => {
    const {state, apply} = createState();
    apply(set('g', ['a', 'b']));
    apply(change('end-engine-group', 'g', 1));
    const types = state
      .listJournal({subject: 'group', id: 'g', after: 0})
      .map(entry => entry.type);
    expect(types).toEqual(['group-set', 'group-ending']);
  });
});
