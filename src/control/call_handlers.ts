/** Answers the calls of hosts, entries and operators; only a leader does. */
import {KeyObject, verify} from 'node:crypto';
import {Clock} from '../common/clock';
import {computeKeyId} from '../protocol/compute_key_id';
import {ControlMessage} from '../protocol/control_message';
import {encodeDrainOrder} from '../protocol/encode_drain_order';
import {encodeLiftOrder} from '../protocol/encode_lift_order';
import {FleetStatus} from '../protocol/fleet_status';
import {Group} from '../protocol/group';
import {HostReport} from '../protocol/host_report';
import {MessageOf} from '../protocol/message_of';
import {openSignedBundle} from '../protocol/open_signed_bundle';
import {ChangeSignal} from './change_signal';
import {ControlError} from './control_error';
import {Fleet} from './fleet';
import {GatewayDesk} from './gateway_desk';
import {RaftRuntime} from './raft_runtime';
import {SuspectDesk} from './suspect_desk';

/** How long an operator's order may travel. */
const MAX_ORDER_AGE_MS = 60_000;
const MAX_JOURNAL_ANSWER = 1_000;
/** How long an entry's question is held while there is nothing new to tell. */
const HOLD_MS = 1_000;

type Asks =
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
  | keyof SuspectDesk['handlers']
  | keyof GatewayDesk['handlers'];
type Handlers = {
  [T in Asks]: (
    ask: MessageOf<ControlMessage, T>,
  ) => ControlMessage | Promise<ControlMessage>;
};

/** What the handlers work on. */
interface CallContext {
  readonly desk: GatewayDesk;
  readonly suspects: SuspectDesk;
  readonly runtime: RaftRuntime;
  readonly fleet: Fleet;
  readonly clock: Clock;
  readonly signal: ChangeSignal;
  /** Keys of the operators whose bundles and orders are accepted. */
  readonly trustedKeys: readonly KeyObject[];
  /** How long hosts and entries may take new work after each answer. */
  readonly leaseMs: number;
  readonly findStandby: (hostId: string) => string | null;
  readonly createStatus: () => FleetStatus;
}

/**
 * Creates the table of handlers by type of call.
 *
 * @example
 * const handlers = createCallHandlers(context);
 * const answer = await handlers['status-ask'](ask);
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
      const group = findNews(findAssignment(runtime, report), report);
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
        await context.signal.waitForChange(HOLD_MS);
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
    'roll-out-ask': ask => rollOut(ask, context),
    'leader-ask': ({call}) => ({type: 'leader-answer', call}),
    'status-ask': ({call}) => ({
      type: 'status-answer',
      call,
      status: context.createStatus(),
    }),
    'journal-ask': ({call, subject, id, after}) => {
      const entries = runtime.state.listJournal({subject, id, after});
      return {
        type: 'journal-answer',
        call,
        entries: entries.slice(-MAX_JOURNAL_ANSWER),
      };
    },
    'drain-ask': ask => drain(ask, context),
    'lift-ask': ask => revokeVerdict(ask, context),
    ...context.desk.handlers,
    ...context.suspects.handlers,
  };
}

/** The group that a host belongs to under the incarnation that it reports. */
function findAssignment(
  runtime: RaftRuntime,
  report: HostReport,
): Group | null {
  const group = runtime.state.groups.findByHost(report.hostId);
  const member = group?.members.find(known => known.hostId === report.hostId);
  return group && member?.incarnation === report.incarnation ? group : null;
}

/** Undefined when the host was told the same before. */
function findNews(
  group: Group | null,
  {told}: HostReport,
): Group | null | undefined {
  const isSame =
    group?.fencing === told?.fencing && group?.isDraining === told?.isDraining;
  return isSame ? undefined : group;
}

async function rollOut(
  ask: MessageOf<ControlMessage, 'roll-out-ask'>,
  context: CallContext,
): Promise<ControlMessage> {
  const {call, bundle} = ask;
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
  ask: MessageOf<ControlMessage, 'drain-ask'>,
  context: CallContext,
): Promise<ControlMessage> {
  const {call, hostId, isDraining, keyId} = ask;
  try {
    const text = encodeDrainOrder(hostId, isDraining, ask.time);
    checkOrder(ask, text, context.trustedKeys);
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
  ask: MessageOf<ControlMessage, 'lift-ask'>,
  context: CallContext,
): Promise<ControlMessage> {
  const {call, name, keyId} = ask;
  const answer = {type: 'lift-answer' as const, call};
  try {
    checkOrder(ask, encodeLiftOrder(name, ask.time), context.trustedKeys);
  } catch (error) {
    return {...answer, isAccepted: false, reason: (error as Error).message};
  }
  const time = Date.now();
  const command = {type: 'lift-verdict' as const, time, name, keyId};
  const {isAccepted, reason} = await context.runtime.propose(command);
  return {...answer, isAccepted, reason};
}

function checkOrder(
  order: {
    readonly keyId: string;
    readonly time: number;
    readonly signature: string;
  },
  text: string,
  trustedKeys: readonly KeyObject[],
): void {
  const key = trustedKeys.find(
    candidate => computeKeyId(candidate) === order.keyId,
  );
  if (!key) {
    throw new ControlError(
      'the order is signed by %s, which is not trusted here',
      order.keyId,
    );
  }
  if (
    !verify(
      null,
      Buffer.from(text),
      key,
      Buffer.from(order.signature, 'base64'),
    )
  ) {
    throw new ControlError('the signature does not fit the order');
  }
  if (Math.abs(Date.now() - order.time) > MAX_ORDER_AGE_MS) {
    throw new ControlError('the order is older than a minute; send it again');
  }
}
