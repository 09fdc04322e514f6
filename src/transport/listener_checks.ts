/** Checks whether servers still listen, with at most one check of each server under way. */
import {probeListener} from './probe_listener';

type ListenerState = Awaited<ReturnType<typeof probeListener>>;

/** Checks servers for many requests. */
export class ListenerChecks {
  private readonly running = new Map<string, Promise<ListenerState>>();
  private readonly next = new Map<string, Promise<ListenerState>>();

  private constructor(private readonly probe: typeof probeListener) {}

  /**
   * Creates checks that have not begun.
   *
   * @example
   * const checks = ListenerChecks.create();
   * const state = await checks.check('10.0.0.4:8080');
   */
  static create(probe: typeof probeListener = probeListener): ListenerChecks {
    return new ListenerChecks(probe);
  }

  /**
   * Finds out whether a process listens from now on. The check begins after the call, since
   * an earlier one tells nothing about what has ended meanwhile; calls that come while one
   * is under way share the next.
   *
   * @param address `host:port`
   */
  check(address: string): Promise<ListenerState> {
    const next = this.next.get(address);
    if (next) {
      return next;
    }
    const running = this.running.get(address);
    if (!running) {
      return this.start(address);
    }
    const queued = running.then(() => {
      this.next.delete(address);
      return this.start(address);
    });
    this.next.set(address, queued);
    return queued;
  }

  private start(address: string): Promise<ListenerState> {
    const probed = this.probe(address);
    const running = probed.finally(() => this.running.delete(address));
    this.running.set(address, running);
    return running;
  }
}
