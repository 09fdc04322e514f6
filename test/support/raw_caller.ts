/** A caller that writes bytes of its own to a port and keeps what comes back. */
import * as net from 'node:net';

export class RawCaller {
  received = '';
  end: 'open' | 'in order' | 'reset' = 'open';
  readonly closed: Promise<void>;

  private constructor(readonly socket: net.Socket) {
    socket.on('data', bytes => (this.received += bytes.toString('latin1')));
    socket.on('end', () => (this.end = 'in order'));
    socket.on('error', () => (this.end = 'reset'));
    this.closed = new Promise(resolve => socket.once('close', () => resolve()));
  }

  static create(port: number): Promise<RawCaller> {
    return new Promise((resolve, reject) => {
      const socket = net.connect(port, '127.0.0.1', () => {
        socket.off('error', reject);
        resolve(new RawCaller(socket));
      });
      socket.once('error', reject);
    });
  }

  send(text: string): void {
    this.socket.write(text, 'latin1');
  }

  /** Status codes of the responses so far, in order. */
  get statuses(): number[] {
    const lines = this.received.matchAll(/HTTP\/1\.1 (\d{3}) /g);
    return [...lines].map(([, status]) => Number(status));
  }

  close(): void {
    this.socket.destroy();
  }
}
