/** The accepted and the outgoing connection of one relayed connection. */
import * as net from 'node:net';

type Direction = 'forward' | 'back';

/** Forwards bytes and the end of the connection in both directions. */
export class RelayPair {
  private isPausedForever = false;

  private constructor(
    private readonly near: net.Socket,
    private readonly far: net.Socket,
    private readonly delayMs: () => number,
    private readonly onClosed: () => void,
  ) {
    this.pass(near, far);
    this.pass(far, near);
  }

  /**
   * @param delayMs delay of bytes that are read now, in milliseconds
   * @param onClosed called when both connections are closed
   */
  static create(
    near: net.Socket,
    far: net.Socket,
    delayMs: () => number,
    onClosed: () => void,
  ): RelayPair {
    return new RelayPair(near, far, delayMs, onClosed);
  }

  /** Stops forwarding in these directions and resumes it in all others. */
  pause(directions: ReadonlySet<Direction>): void {
    const {near, far} = this;
    for (const [socket, direction] of [
      [near, 'forward'],
      [far, 'back'],
    ] as const) {
      if (this.isPausedForever || directions.has(direction)) {
        socket.pause();
      } else {
        socket.resume();
      }
    }
  }

  /** Stops forwarding bytes and the end of the connection for good. */
  pauseForever(): void {
    this.isPausedForever = true;
    this.near.pause();
    this.far.pause();
  }

  reset(): void {
    this.near.resetAndDestroy();
    this.far.resetAndDestroy();
  }

  destroy(): void {
    this.near.destroy();
    this.far.destroy();
  }

  private pass(from: net.Socket, to: net.Socket): void {
    /** Undefined while nothing is held back. */
    let held: Promise<void> | undefined;
    const hold = (step: () => void, ms: number) => {
      const wait = new Promise(resolve => setTimeout(resolve, ms));
      const own = Promise.all([held, wait]).then(() => {
        step();
        held = held === own ? undefined : held;
      });
      held = own;
    };
    const perform = (step: () => void) => {
      const ms = this.delayMs();
      if (held || ms > 0) {
        hold(step, ms);
      } else {
        step();
      }
    };
    from.setNoDelay(true);
    from.on('data', data =>
      perform(() => {
        if (!this.isPausedForever) {
          to.write(data);
        }
      }),
    );
    from.on('error', () => undefined);
    from.on('close', hadError => {
      if (to.destroyed) {
        this.onClosed();
      }
      perform(() => this.passEnd(to, hadError));
    });
  }

  /** Forwards a reset as a reset, since some programs take a regular end for a complete response. */
  private passEnd(to: net.Socket, wasReset: boolean): void {
    if (this.isPausedForever) {
      return;
    }
    if (wasReset && !to.connecting) {
      to.resetAndDestroy();
    } else if (to.connecting) {
      to.destroy();
    } else {
      to.destroySoon();
    }
  }
}
