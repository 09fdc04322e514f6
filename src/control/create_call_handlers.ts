/** Handlers for the calls of hosts, entry processes, gateways, backend servers and operators, on the leader. */
import {KeyObject} from 'node:crypto';
import {Clock} from '../common/clock';
import {ControlMessage} from '../protocol/control_message';
import {encodeDrainOrder} from '../protocol/encode_drain_order';
import {encodeLiftOrder} from '../protocol/encode_lift_order';
import {FleetStatus} from '../protocol/fleet_status';
import {Group} from '../protocol/group';
import {HostReport} from '../protocol/host_report';
import {MessageOf} from '../protocol/message_of';
import {openSignedBundle} from '../protocol/open_signed_bundle';
import {ChangeSignal} from './change_signal';
import {checkOrder} from './check_order';
import {ControlError} from './control_error';
import {Fleet} from './fleet';
import {GatewayService} from './gateway_service';
import {RaftRuntime} from './raft_runtime';
import {SuspectService} from './suspect_service';

const MAX_JOURNAL_ENTRIES = 1_000;
/** Long polling: an entry process's report is held this long while it has seen every update. */
const LONG_POLL_MS = 1_000;

type CallType =
  | 'host-report'
  | 'entry-report'
  | 'claim-ask'
  | 'claim-resolve'
  | 'roll-out-ask'
  | 'status-ask'
  | 'journal-ask'
  | 'drain-ask'
  | 'leader-ask'
  | 'lift-ask'
  | keyof SuspectService['handlers']
  | keyof GatewayService['handlers'];
type Handlers = {
  [T in CallType]: (
    request: MessageOf<ControlMessage, T>,
  ) => ControlMessage | Promise<ControlMessage>;
};

/** Dependencies of the handlers. */
interface CallContext {
  readonly gateways: GatewayService;
  readonly suspects: SuspectService;
  readonly runtime: RaftRuntime;
  readonly fleet: Fleet;
  readonly clock: Clock;
  readonly signal: ChangeSignal;
  /** Public keys of the operators whose signed bundles and orders are accepted. */
  readonly trustedKeys: readonly KeyObject[];
  /** Lease of hosts and entry processes: they may take new work for this long after each answer. */
  readonly leaseMs: number;
  readonly findStandby: (hostId: string) => string | null;
  readonly createFleetStatus: () => FleetStatus;
}

/**
 * Creates the handlers by type of call.
 *
 * @example
 * const handlers = createCallHandlers(context);
 * const answer = await handlers['status-ask'](request);
 */
export function createCallHandlers(context: CallContext): Handlers {
  const {runtime, fleet, clock, leaseMs} = context;
  const describeBundle = (reportedVersion: number) => {
    const {bundles} = runtime.state;
    const isCurrent = reportedVersion === bundles.version;
    return {
      bundleVersion: bundles.version,
      bundle: isCurrent ? undefined : bundles.signed,
    };
  };
  return {
    'host-report': ({call, report}) => {
      fleet.recordHost(report, clock.now());
      const group = findChange(findAssignment(runtime, report), report);
      const bundle = describeBundle(report.bundleVersion);
      const standby = context.findStandby(report.hostId);
      return {type: 'host-directive', call, leaseMs, ...bundle, group, standby};
    },
    'entry-report': async ({call, entryId, bundleVersion, tableVersion}) => {
      fleet.recordEntry(entryId, bundleVersion, clock.now());
      const isUpToDate =
        tableVersion === runtime.state.groups.version &&
        bundleVersion === runtime.state.bundles.version;
      if (isUpToDate) {
        await context.signal.waitForChange(LONG_POLL_MS);
      }
      const {groups} = runtime.state;
      return {
        type: 'entry-directive',
        call,
        leaseMs,
        ...describeBundle(bundleVersion),
        tableVersion: groups.version,
        groups: tableVersion === groups.version ? undefined : groups.list(),
        entries: Math.max(1, fleet.listEntries(clock.now()).length),
      };
    },
    'claim-ask': async ({call, claim}) => {
      const result = await runtime.propose({
        type: 'claim',
        time: Date.now(),
        ...claim,
      });
      if (!result.verdict) {
        throw new ControlError('the claim was applied without a verdict');
      }
      return {type: 'claim-answer', call, verdict: result.verdict};
    },
    'claim-resolve': async ({call, workspace, key, attemptId, outcome}) => {
      const time = Date.now();
      await runtime.propose({
        type: 'resolve-claim',
        time,
        workspace,
        key,
        attemptId,
        outcome,
      });
      return {type: 'claim-resolved', call};
    },
    'roll-out-ask': request => rollOut(request, context),
    'leader-ask': ({call}) => ({type: 'leader-answer', call}),
    'status-ask': ({call}) => ({
      type: 'status-answer',
      call,
      status: context.createFleetStatus(),
    }),
    'journal-ask': ({call, subject, id, after}) => {
      const entries = runtime.state.listJournal({subject, id, after});
      return {
        type: 'journal-answer',
        call,
        entries: entries.slice(-MAX_JOURNAL_ENTRIES),
      };
    },
    'drain-ask': request => drain(request, context),
    'lift-ask': request => revokeVerdict(request, context),
    ...context.gateways.handlers,
    ...context.suspects.handlers,
  };
}

/** The group of a host, if it is assigned to the incarnation that the host reports. */
function findAssignment(
  runtime: RaftRuntime,
  report: HostReport,
): Group | null {
  const group = runtime.state.groups.findByHost(report.hostId);
  const member = group?.members.find(known => known.hostId === report.hostId);
  return group && member?.incarnation === report.incarnation ? group : null;
}

/** The assignment to send to a host; undefined if the host has it already. */
function findChange(
  group: Group | null,
  {told}: HostReport,
): Group | null | undefined {
  const isSame =
    group?.fencing === told?.fencing && group?.isDraining === told?.isDraining;
  return isSame ? undefined : group;
}

async function rollOut(
  request: MessageOf<ControlMessage, 'roll-out-ask'>,
  context: CallContext,
): Promise<ControlMessage> {
  const {call, bundle} = request;
  const answer = {
    type: 'roll-out-answer' as const,
    call,
    version: 0,
    digest: '',
    keyId: '',
  };
  try {
    openSignedBundle(bundle, context.trustedKeys);
  } catch (error) {
    return {...answer, isAccepted: false, reason: (error as Error).message};
  }
  const result = await context.runtime.propose({
    type: 'roll-out',
    time: Date.now(),
    bundle,
  });
  const {isAccepted, reason} = result;
  return {...answer, isAccepted, reason, ...result.bundle};
}

async function drain(
  request: MessageOf<ControlMessage, 'drain-ask'>,
  context: CallContext,
): Promise<ControlMessage> {
  const {call, hostId, isDraining, keyId} = request;
  try {
    const text = encodeDrainOrder(hostId, isDraining, request.time);
    checkOrder(request, text, context.trustedKeys);
  } catch (error) {
    return {
      type: 'drain-answer',
      call,
      isAccepted: false,
      reason: (error as Error).message,
    };
  }
  const time = Date.now();
  const result = await context.runtime.propose({
    type: 'drain-host',
    time,
    hostId,
    isDraining,
    keyId,
  });
  return {
    type: 'drain-answer',
    call,
    isAccepted: result.isAccepted,
    reason: result.reason,
  };
}

async function revokeVerdict(
  request: MessageOf<ControlMessage, 'lift-ask'>,
  context: CallContext,
): Promise<ControlMessage> {
  const {call, name, keyId} = request;
  const answer = {type: 'lift-answer' as const, call};
  try {
    checkOrder(
      request,
      encodeLiftOrder(name, request.time),
      context.trustedKeys,
    );
  } catch (error) {
    return {...answer, isAccepted: false, reason: (error as Error).message};
  }
  const time = Date.now();
  const command = {type: 'lift-verdict' as const, time, name, keyId};
  const {isAccepted, reason} = await context.runtime.propose(command);
  return {...answer, isAccepted, reason};
}
