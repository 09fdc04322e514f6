/** The backend server beside this host process, as it last announced itself. */
import {Clock} from '../common/clock';
import {BackendAnnouncement} from '../protocol/backend_announcement';

/** Silence after which the backend server counts as gone. */
const PRESENT_MS = 3_000;

/** Holds the newest announcement for as long as it is fresh. */
export class LocalBackend {
  private announcement: BackendAnnouncement | undefined;
  private announcedAt = -Infinity;

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates an empty slot.
   *
   * @example
   * const slot = BackendSlot.create(systemClock);
   */
  static create(clock: Clock): LocalBackend {
    return new LocalBackend(clock);
  }

  /** The backend server, if it announced itself lately. */
  get current(): BackendAnnouncement | undefined {
    const isFresh = this.clock.now() - this.announcedAt < PRESENT_MS;
    return isFresh ? this.announcement : undefined;
  }

  /** Takes an announcement; true when it differs from the one before. */
  recordAnnouncement(announcement: BackendAnnouncement): boolean {
    const isChange =
      JSON.stringify(this.current) !== JSON.stringify(announcement);
    this.announcement = announcement;
    this.announcedAt = this.clock.now();
    return isChange;
  }

  /** Notes that nothing listens where the backend server was. */
  clear(): void {
    this.announcedAt = -Infinity;
  }
}
