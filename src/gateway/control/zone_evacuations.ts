/** The evacuated availability zones as a gateway knows them from the answers of control. */
import {EventRing} from '../../common/event_ring';
import {ControlMessage} from '../../protocol/control_message';
import {MessageOf} from '../../protocol/message_of';
import {ZoneEvacuation} from '../../protocol/zone_evacuation';

type PollAnswer = Pick<
  MessageOf<ControlMessage, 'gateway-answer'>,
  'evacuations' | 'evacuationsVersion'
>;

/** Holds the newest version; the poller tracks how fresh it is. */
export class ZoneEvacuations {
  private zones = new Map<string, ZoneEvacuation>();
  private knownVersion = 0;

  private constructor(private readonly events: EventRing) {}

  /**
   * Creates a list without evacuated zones.
   *
   * @example
   * const evacuations = ZoneEvacuations.create(events);
   */
  static create(events: EventRing): ZoneEvacuations {
    return new ZoneEvacuations(events);
  }

  /** Version of the list; 0 before the first evacuation. */
  get version(): number {
    return this.knownVersion;
  }

  /**
   * True for an evacuated zone, and for the unknown zone of a backend server that has
   * not registered with a new leader yet while any zone is evacuated.
   */
  has(zone: string): boolean {
    return zone === '' ? this.zones.size > 0 : this.zones.has(zone);
  }

  /**
   * Takes over the list from an answer.
   *
   * @param askedMsAgo when the poll was sent that this answers
   * @returns false if the answer does not tell which zones are evacuated now: it is older
   * than another one, or comes from a leader that knows no evacuations
   */
  apply(
    {evacuations, evacuationsVersion = 0}: PollAnswer,
    askedMsAgo: number,
  ): boolean {
    const isNewer = evacuationsVersion > this.knownVersion;
    if (!isNewer || !evacuations) {
      return evacuationsVersion === this.knownVersion;
    }
    const before = this.zones;
    this.zones = new Map(evacuations.map(each => [each.zone, each]));
    this.knownVersion = evacuationsVersion;
    for (const evacuation of evacuations) {
      if (!before.has(evacuation.zone)) {
        this.recordChange('zone-evacuated', evacuation, askedMsAgo);
      }
    }
    for (const evacuation of before.values()) {
      if (!this.zones.has(evacuation.zone)) {
        this.recordChange('zone-restored', evacuation, askedMsAgo);
      }
    }
    return true;
  }

  private recordChange(
    type: 'zone-evacuated' | 'zone-restored',
    {zone, requestedBy}: ZoneEvacuation,
    askedMsAgo: number,
  ): void {
    this.events.record({
      type,
      subject: 'zone',
      id: zone,
      reason:
        type === 'zone-evacuated'
          ? `ordered by ${requestedBy}: no request is sent to its backend servers`
          : 'the evacuation was revoked: its backend servers get requests again',
      details: {version: this.knownVersion, askedMsAgo: Math.round(askedMsAgo)},
    });
  }
}
