/** The newest unsigned bundle from the operators' channel. */
import {z} from 'zod';
import {ChannelBundle} from '../protocol/channel_bundle';
import {GatewayRules} from '../protocol/gateway_rules';
import {CommandResult} from './command_result';

/** Accepts a bundle only if its version is higher than the one in force. */
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

  /** Version in force; 0 if there is none yet. */
  get version(): number {
    return this.current?.rules.version ?? 0;
  }

  /** The rules in force. */
  get rules(): GatewayRules | undefined {
    return this.current?.rules;
  }

  /** The bundle in force, byte for byte as its operator sent it. */
  get source(): string | undefined {
    return this.current?.source;
  }

  /** Accepts a higher version; any other changes nothing. */
  accept(bundle: ChannelBundle): CommandResult {
    const {version} = bundle.rules;
    if (this.current && version <= this.version) {
      const reason = `version ${this.version} is in force, so ${version} changes nothing`;
      return {isAccepted: false, reason};
    }
    this.current = bundle;
    return {isAccepted: true, reason: `version ${version} is in force`};
  }

  /** Returns the table as plain data, for a snapshot. */
  save(): z.infer<typeof ChannelBundle> | undefined {
    return this.current;
  }
}
