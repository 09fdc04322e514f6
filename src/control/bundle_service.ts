/** Takes rules from trusted channels into the replicated log. */
import {Clock} from '../common/clock';
import {EventRing} from '../common/event_ring';
import {ChannelBundle} from '../protocol/channel_bundle';
import {checkGatewayRules} from '../protocol/check_gateway_rules';
import {ControlMessage} from '../protocol/control_message';
import {MessageOf} from '../protocol/message_of';
import {CommandResult} from '../state/command_result';
import {checkDurability} from './check_durability';
import {ControlError} from './control_error';
import {ControlSettings} from './control_settings';
import {RaftRuntime} from './raft_runtime';

type BundleCall = MessageOf<ControlMessage, 'channel-bundle-ask'>;

/** Dependencies of the service. */
interface BundleServiceOptions {
  readonly settings: ControlSettings;
  readonly runtime: RaftRuntime;
  readonly clock: Clock;
  readonly events: EventRing;
}

/** Accepts bundles on the leader. */
export class BundleService {
  /** Bundles that were proposed to the replicated log and are not committed yet. */
  private readonly pendingBundles: Array<
    ChannelBundle & {readonly committed: Promise<CommandResult>}
  > = [];

  private constructor(private readonly options: BundleServiceOptions) {}

  /**
   * Creates a service without pending bundles.
   *
   * @example
   * const bundles = BundleService.create({settings, runtime, clock, events});
   */
  static create(options: BundleServiceOptions): BundleService {
    return new BundleService(options);
  }

  /** Commits a bundle from a trusted channel unless it is invalid or not newer than the one in force. */
  async accept({call, bundle}: BundleCall): Promise<ControlMessage> {
    const {settings, runtime, clock} = this.options;
    const startedAt = clock.now();
    if (!settings.trustedChannels?.includes(bundle.channel)) {
      throw new ControlError('the channel %s is not trusted', bundle.channel);
    }
    const problem = findRulesError(bundle);
    if (problem !== undefined) {
      const {version} = runtime.state.channel;
      this.recordBundle(bundle, 'bundle-refused', problem, startedAt);
      return {type: 'channel-bundle-answer', call, version, reason: problem};
    }
    const reason = await this.commitOnce(bundle);
    const {version} = runtime.state.channel;
    this.recordBundle(bundle, 'bundle-taken', reason, startedAt);
    return {type: 'channel-bundle-answer', call, version, reason};
  }

  /** Calls that carry the same bundle share one entry of the replicated log. */
  private async commitOnce(bundle: ChannelBundle): Promise<string> {
    const {runtime} = this.options;
    const {version} = bundle.rules;
    const inForce = runtime.state.channel.version;
    if (version <= inForce) {
      return `version ${inForce} is in force, so ${version} changes nothing`;
    }
    const pending = this.pendingBundles.find(
      ({source, channel, rules}) =>
        rules.version === version &&
        channel === bundle.channel &&
        source === bundle.source,
    );
    if (pending) {
      return (await pending.committed).reason;
    }
    checkDurability(this.options);
    const command = {
      type: 'accept-channel-bundle' as const,
      time: Date.now(),
      bundle,
    };
    const proposal = {...bundle, committed: runtime.propose(command)};
    this.pendingBundles.push(proposal);
    try {
      return (await proposal.committed).reason;
    } finally {
      this.pendingBundles.splice(this.pendingBundles.indexOf(proposal), 1);
    }
  }

  private recordBundle(
    {rules, source}: ChannelBundle,
    type: 'bundle-taken' | 'bundle-refused',
    reason: string,
    startedAt: number,
  ): void {
    this.options.events.record({
      type,
      subject: 'bundle',
      id: String(rules.version),
      reason,
      details: {
        routes: rules.routes.length,
        bytes: source.length,
        tookMs: Math.round(this.options.clock.now() - startedAt),
      },
    });
  }
}

function findRulesError({rules}: ChannelBundle): string | undefined {
  try {
    checkGatewayRules(rules);
    return undefined;
  } catch (error) {
    return (error as Error).message;
  }
}
