/** The newest bundle of the operators' channel: the highest version holds. */
import {z} from 'zod';
import {ChannelBundle} from '../protocol/channel_bundle';
import {GatewayRules} from '../protocol/gateway_rules';
import {CommandResult} from './command_result';

/** Accepts a bundle whose version is above the one in force. */
export class ChannelBundleTable {
  private constructor(private current: ChannelBundle | undefined) {}

  /**
   * Creates an empty table, or one from a snapshot.
   *
   * @example
   * const table = ChannelBundleTable.create();
   */
  static create(snapshot?: unknown): ChannelBundleTable {
    return new ChannelBundleTable(ChannelBundle.optional().parse(snapshot));
  }

  /** Version in force; 0 before the first. */
  get version(): number {
    return this.current?.rules.version ?? 0;
  }

  /** The rules in force. */
  get rules(): GatewayRules | undefined {
    return this.current?.rules;
  }

  /** The bundle in force as its operator sent it, to the byte. */
  get source(): string | undefined {
    return this.current?.source;
  }

  /** Takes a higher version; any other is acknowledged and changes nothing. */
  accept(bundle: ChannelBundle): CommandResult {
    const {version} = bundle.rules;
    if (this.current && version <= this.version) {
      const reason = `version ${this.version} is in force, so ${version} changes nothing`;
      return {isAccepted: false, reason};
    }
    this.current = bundle;
    return {isAccepted: true, reason: `version ${version} is in force`};
  }

  /** The table as plain data. */
  save(): z.infer<typeof ChannelBundle> | undefined {
    return this.current;
  }
}
