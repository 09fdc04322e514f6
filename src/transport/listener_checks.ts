/** Checks whether servers still listen, with at most one probe of each server under way. */
import {probePort} from './probe_port';

/** A refusal takes one round trip; a longer silence tells nothing about the process. */
const PROBE_MS = 300;

type ListenerState = Awaited<ReturnType<typeof probePort>>;

/** Probes the ports of servers for many requests. */
export class ListenerChecks {
  private readonly running = new Map<string, Promise<ListenerState>>();
  private readonly next = new Map<string, Promise<ListenerState>>();

  private constructor(private readonly probe: typeof probePort) {}

  /**
   * Creates checks that have probed nothing.
   *
   * @example
   * const checks = ListenerChecks.create();
   * const state = await checks.check('10.0.0.4:8080');
   */
  static create(probe: typeof probePort = probePort): ListenerChecks {
    return new ListenerChecks(probe);
  }

  /**
   * Finds out whether a process listens now. The probe begins after the call, since an
   * earlier one tells nothing about what has ended meanwhile; calls that come while one is
   * under way share the next.
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
    const {hostname, port} = new URL(`http://${address}`);
    const host = hostname.replace(/^\[|\]$/g, '');
    const probed = this.probe({host, port: Number(port)}, PROBE_MS);
    const running = probed.finally(() => this.running.delete(address));
    this.running.set(address, running);
    return running;
  }
}
