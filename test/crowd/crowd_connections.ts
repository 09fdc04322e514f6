/** Many connections at once that send the same and read nothing, or never enough. */
import * as net from 'node:net';
import {waitUntil} from '../support/wait_until';

/** A crowd that is not served is held up by the kernel's windows, and has arrived then, too. */
const ARRIVED_WITHIN_MS = 15_000;

interface CrowdOptions {
  readonly ip: string;
  readonly port: number;
  readonly count: number;
  /** Sent first on each connection. */
  readonly head?: string;
  /** Sent after the head, as often as `repeats` says; all connections share it. */
  readonly block?: Buffer;
  readonly repeats?: number;
}

/** Connections that stay open until they are closed here or by the other side. */
export class CrowdConnections {
  private readonly sockets: net.Socket[] = [];
  private unfinished: number;

  private constructor(private readonly options: CrowdOptions) {
    this.unfinished = options.count;
  }

  /** Resolves when everything is sent, refused or held up. */
  static async create(options: CrowdOptions): Promise<CrowdConnections> {
    const crowd = new CrowdConnections(options);
    for (let at = 0; at < options.count; at += 1) {
      crowd.open();
    }
    await waitUntil(
      'all is sent',
      () => crowd.unfinished === 0,
      ARRIVED_WITHIN_MS,
    ).catch(() => undefined);
    return crowd;
  }

  /** Connections that the other side has not closed. */
  get openCount(): number {
    return this.sockets.filter(({destroyed}) => !destroyed).length;
  }

  close(): void {
    this.sockets.forEach(socket => socket.destroy());
  }

  private open(): void {
    const {ip, port, head, block, repeats = 1} = this.options;
    const socket = net.connect({host: ip, port});
    this.sockets.push(socket);
    socket.pause();
    let isFinished = false;
    const finish = () => {
      this.unfinished -= isFinished ? 0 : 1;
      isFinished = true;
    };
    const writeFrom = (sent: number) => {
      if (!block || sent === repeats) {
        finish();
        return;
      }
      socket.write(block, error => error ?? writeFrom(sent + 1));
    };
    // Refusing or closing such a connection is allowed.
    socket.on('error', finish);
    socket.on('close', finish);
    socket.once('connect', () => {
      socket.write(head ?? '');
      writeFrom(0);
    });
  }
}
