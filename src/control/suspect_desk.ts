/** The leader's answers about requests under which backend servers ended. */
import {EventRing} from '../common/event_ring';
import {ControlMessage} from '../protocol/control_message';
import {MessageOf} from '../protocol/message_of';
import {RaftRuntime} from './raft_runtime';

type Ask<T extends ControlMessage['type']> = MessageOf<ControlMessage, T>;

/** What the desk works on. */
interface SuspectDeskOptions {
  readonly runtime: Pick<RaftRuntime, 'state' | 'propose'>;
  readonly events: EventRing;
}

/** Answers calls; the caller makes sure that this process leads. */
export class SuspectDesk {
  private constructor(private readonly options: SuspectDeskOptions) {}

  /**
   * Creates a desk.
   *
   * @example
   * const desk = SuspectDesk.create({runtime, events});
   */
  static create(options: SuspectDeskOptions): SuspectDesk {
    return new SuspectDesk(options);
  }

  readonly handlers = {
    'suspects-ask': (ask: Ask<'suspects-ask'>) => this.recordSuspects(ask),
    'trial-ask': (ask: Ask<'trial-ask'>) => this.grantTrial(ask),
    'verdicts-ask': ({call}: Ask<'verdicts-ask'>): ControlMessage => {
      const {suspects} = this.options.runtime.state;
      const list = suspects.list();
      const told = list.map(([name, suspect]) => ({name, ...suspect}));
      return {type: 'verdicts-answer', call, suspects: told};
    },
  };

  private async recordSuspects(
    ask: Ask<'suspects-ask'>,
  ): Promise<ControlMessage> {
    const {call, gatewayId, crashes, released, cleared} = ask;
    const {runtime} = this.options;
    const time = Date.now();
    crashes.forEach(crash => this.recordCrash(gatewayId, crash));
    const before = runtime.state.suspects.version;
    const told = {time, crashes, released, cleared};
    await runtime.propose({type: 'record-suspects', ...told});
    this.recordChanges(before);
    return {type: 'suspects-answer', call};
  }

  /** Only the log makes sure that no two leaders grant the same place. */
  private async grantTrial(ask: Ask<'trial-ask'>): Promise<ControlMessage> {
    const {call, name, incarnation} = ask;
    const {runtime, events} = this.options;
    const time = Date.now();
    const command = {type: 'begin-trial' as const, time, name, incarnation};
    const result = await runtime.propose(command);
    const verdict = result.trial ?? 'busy';
    if (verdict === 'granted') {
      events.record({
        type: 'trial-granted',
        subject: 'request',
        id: name,
        reason: 'nothing else that is suspected runs there',
        details: {incarnation},
      });
    }
    return {type: 'trial-answer', call, verdict};
  }

  private recordCrash(
    gatewayId: string,
    {incarnation, notBegun, begun}: Ask<'suspects-ask'>['crashes'][number],
  ): void {
    this.options.events.record({
      type: 'backend-ended',
      subject: 'host',
      id: incarnation,
      reason: 'a gateway saw it end with requests under way',
      details: {gatewayId, notBegun: notBegun.join(' '), begun: begun.length},
    });
  }

  private recordChanges(before: number): void {
    const {suspects} = this.options.runtime.state;
    const {suspected, convicted, freed} = suspects.describeSince(before);
    const tell = (type: string, names: readonly string[]) =>
      names.forEach(name => this.recordStanding(type, name));
    tell('request-suspected', suspected);
    tell('request-convicted', convicted);
    tell('request-freed', freed);
  }

  private recordStanding(type: string, name: string): void {
    const {state} = this.options.runtime;
    const crashes = state.suspects.find(name)?.crashes ?? [];
    const now = state.time;
    this.options.events.record({
      type,
      subject: 'request',
      id: name,
      reason: `${crashes.length} backend servers ended under it`,
      details: {
        servers: crashes.map(({incarnation}) => incarnation).join(' '),
        agesMs: crashes.map(({time}) => now - time).join(' '),
      },
    });
  }
}
