import * as net from 'node:net';

const PATIENCE_MS = 3_000;
const INFORMATIONAL = /^(?:HTTP\/1\.1 1\d\d [^\r]*\r\n(?:[^\r]+\r\n)*\r\n)+/;
const HEAD = /^HTTP\/1\.1 (\d{3})[^]*?\r\n\r\n/;
const LENGTH = /\r\ncontent-length: (\d+)\r\n/i;

/** Where bytes go that need not be a request. */
interface RawCall {
  readonly host: string;
  readonly port: number;
  readonly text: string;
  readonly patienceMs?: number;
}

/** What came back. */
interface RawReply {
  /** 0 where no head came. */
  readonly status: number;
  readonly text: string;
  /** Nobody ended it in time. */
  readonly wasGivenUp: boolean;
}

/**
 * Sends bytes on a connection of its own and collects what comes back; never rejects.
 *
 * @example
 * await sendRaw({host: '127.0.0.1', port, text: 'GET / HTTP/1.1\r\n\r\n'});
 */
export function sendRaw(call: RawCall): Promise<RawReply> {
  const {host, port, text, patienceMs = PATIENCE_MS} = call;
  return new Promise(resolve => {
    const socket = net.connect(port, host);
    let received = '';
    let wasGivenUp = false;
    const timer = setTimeout(() => {
      wasGivenUp = true;
      socket.destroy();
    }, patienceMs);
    socket.on('connect', () => socket.write(text));
    socket.on('error', () => undefined);
    socket.on('data', data => {
      received = (received + data.toString('latin1')).replace(
        INFORMATIONAL,
        '',
      );
      if (isComplete(received)) {
        socket.destroy();
      }
    });
    socket.on('close', () => {
      clearTimeout(timer);
      const status = Number(HEAD.exec(received)?.[1] ?? 0);
      resolve({status, text: received, wasGivenUp});
    });
  });
}

function isComplete(received: string): boolean {
  const head = HEAD.exec(received)?.[0];
  const length = head && LENGTH.exec(head)?.[1];
  return (
    head !== undefined &&
    length !== undefined &&
    received.length >= head.length + Number(length)
  );
}
