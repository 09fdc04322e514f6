import {Clock} from '../../src/common/clock';
import {EventRing} from '../../src/common/event_ring';
import {BackendRegistry} from '../../src/control/backend_registry';
import {ClosedHeads} from '../../src/control/closed_heads';
import {ColdServerService} from '../../src/control/cold_server_service';
import {RaftRuntime} from '../../src/control/raft_runtime';
import {RateLimitService} from '../../src/control/rate_limit_service';
import {TargetTable} from '../../src/control/target_table';
import {GatewayRules} from '../../src/protocol/gateway_rules';
import {EngineGroupTable} from '../../src/state/engine_group_table';

interface LimitLeaderOptions {
  readonly term: number;
  readonly leadingSince: number;
  readonly pool: GatewayRules['pools'][number];
  readonly clock: Clock;
  readonly notify: () => void;
}

/** Creates the services of a leader that decide on limits and cold servers, and its table of targets. */
export function createLimitLeader(leader: LimitLeaderOptions) {
  const {term, leadingSince, pool, clock, notify} = leader;
  const runtime = {
    raft: {term},
    leadingSince,
    state: {
      engines: EngineGroupTable.create(),
      channel: {version: 1, rules: {pools: [pool]}},
    },
  } as unknown as RaftRuntime;
  const registry = BackendRegistry.create();
  const events = EventRing.create();
  const leaderName = `c${term}`;
  const options = {runtime, registry, clock, events, leaderName, notify};
  const cold = ColdServerService.create(options);
  const limits = RateLimitService.create({...options, cold});
  const closedHeads = ClosedHeads.create();
  const targets = TargetTable.create({...options, cold, closedHeads});
  return {cold, limits, targets, registry};
}
