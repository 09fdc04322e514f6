/** The backend server next to this host process, as it last announced itself. */
import {Clock} from '../common/clock';
import {BackendAnnouncement} from '../protocol/backend_announcement';

/** Time without an announcement after which the backend server counts as gone. */
const ANNOUNCEMENT_TTL_MS = 3_000;

/** Keeps the latest announcement until it expires. */
export class LocalBackend {
  private announcement: BackendAnnouncement | undefined;
  private announcedAt = -Infinity;

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates an instance without an announcement.
   *
   * @example
   * const localBackend = LocalBackend.create(systemClock);
   */
  static create(clock: Clock): LocalBackend {
    return new LocalBackend(clock);
  }

  /** The backend server, unless its announcement has expired. */
  get current(): BackendAnnouncement | undefined {
    const isFresh = this.clock.now() - this.announcedAt < ANNOUNCEMENT_TTL_MS;
    return isFresh ? this.announcement : undefined;
  }

  /** Stores an announcement; returns whether it differs from the previous one. */
  recordAnnouncement(announcement: BackendAnnouncement): boolean {
    const isChange =
      JSON.stringify(this.current) !== JSON.stringify(announcement);
    this.announcement = announcement;
    this.announcedAt = this.clock.now();
    return isChange;
  }

  /** Discards the announcement of a backend server that no longer listens. */
  clear(): void {
    this.announcedAt = -Infinity;
  }
}
