/** Proves that a silent head counts on no member any more. */
import {EngineGroup} from '../protocol/engine_group';
import {BackendRegistry} from './backend_registry';

/** Beyond the time after which a stalled head is broken, for messages on their way. */
const MARGIN_MS = 500;

/**
 * Remembers since when each group is marked as left by a member. It runs on
 * every control process, so that a new leader need not start to count anew; a
 * process that learns of the mark late counts from then, which is safe.
 */
export class HeadStopDetector {
  private readonly releasedAt = new Map<string, number>();

  private constructor(
    private readonly registry: BackendRegistry,
    private readonly stallMs: number,
  ) {}

  /**
   * Creates a memory that knows of no departure.
   *
   * @param stallMs how long a head stalls before it is broken
   * @example
   * const release = HeadRelease.create(registry, 5000);
   */
  static create(registry: BackendRegistry, stallMs: number): HeadStopDetector {
    return new HeadStopDetector(registry, stallMs);
  }

  /** Looks which groups are marked. */
  refresh(groups: readonly EngineGroup[], now: number): void {
    const released = groups.filter(group => group.isReleased).map(createKey);
    for (const key of this.releasedAt.keys()) {
      if (!released.includes(key)) {
        this.releasedAt.delete(key);
      }
    }
    for (const key of released) {
      this.releasedAt.set(key, this.releasedAt.get(key) ?? now);
    }
  }

  /** True once the head must be broken, or is another start by now. */
  isLetGo(group: EngineGroup, now: number): boolean {
    const [head] = group.members;
    const isReplaced = this.registry
      .list()
      .some(
        ({registration}) =>
          registration.incarnation !== head.incarnation &&
          (registration.address === head.address ||
            (head.name !== undefined && registration.name === head.name)),
      );
    const releasedAt = this.releasedAt.get(createKey(group)) ?? Infinity;
    return isReplaced || now - releasedAt > this.stallMs + MARGIN_MS;
  }

  /** True when a member says by its own word that it is elsewhere. */
  hasLeaver(group: EngineGroup): boolean {
    return group.members.slice(1).some(({incarnation}) => {
      const view = this.registry.find(incarnation);
      const told = view?.registration.group;
      const isMember = told?.name === group.name && told.epoch === group.epoch;
      return view !== undefined && !isMember;
    });
  }
}

function createKey({name, epoch}: EngineGroup): string {
  return `${name} ${epoch}`;
}
