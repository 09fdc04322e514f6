/** Surplus copies of earlier answers, written in the place of the answer to a request that runs. */
import {Socket} from 'node:net';
import {falseClaims} from './false_claims';

/** Part of the requests on kept connections that get a copy while the fault lasts. */
const COPY_SHARE = 0.5;
/** Part of the copies that carry no request id. */
const UNIDENTIFIED_SHARE = 0.15;
/** Part of the copies that also state something about their backend server. */
const CLAIMING_SHARE = 0.3;
/** Every so many requests are refused by all backend servers while refusals come twice. */
const REFUSED_EVERY = 8;

const NOT_EXECUTED = 'x-whinreel-not-executed: 1\r\n';
const SEALED = 'x-whinreel-response-seal: s\r\n';
const STATUS_LINES = [
  `HTTP/1.1 503 Service Unavailable\r\n${NOT_EXECUTED}`,
  `HTTP/1.1 429 Too Many Requests\r\n${NOT_EXECUTED}`,
  'HTTP/1.1 421 Misdirected Request\r\n',
  `HTTP/1.1 200 OK\r\n${SEALED}`,
];

/** What the answers of one connection were about. */
interface CopiedConnection {
  lastAnswered?: string;
  /** Refused here while refusals come twice. */
  readonly refused: Set<string>;
}

/** Decides for one backend server which requests get a copy, and writes it. */
export class LateCopies {
  /** Copies written so far. */
  sent = 0;
  private readonly connections = new WeakMap<Socket, CopiedConnection>();
  private readonly refusedOnce = new Set<string>();
  private foreignUntil = 0;
  private twiceUntil = 0;

  private constructor(private readonly random: () => number) {}

  static create(random: () => number): LateCopies {
    return new LateCopies(random);
  }

  /** Sends copies of answers to earlier requests for a while. */
  beginForeign(durationMs: number): void {
    this.foreignUntil = performance.now() + durationMs;
  }

  /** For a while refuses some requests once, and once more when they come again on the same connection. */
  beginTwice(durationMs: number): void {
    this.twiceUntil = performance.now() + durationMs;
  }

  /** True for a request that is to be refused: at its first arrival, while refusals come twice. */
  takeRefusal(id: string, socket: Socket): boolean {
    const isDue =
      performance.now() < this.twiceUntil &&
      Number(id.slice(1)) % REFUSED_EVERY === 0 &&
      !this.refusedOnce.has(id);
    if (isDue) {
      this.refusedOnce.add(id);
      this.find(socket).refused.add(id);
    }
    return isDue;
  }

  recordAnswer(id: string, socket: Socket): void {
    this.find(socket).lastAnswered = id;
  }

  /** Writes a copy if the connection has something to copy; true if it did. */
  send(id: string, socket: Socket): boolean {
    const {lastAnswered, refused} = this.find(socket);
    const copy = refused.has(id)
      ? formatCopy(id, STATUS_LINES[0])
      : this.createForeign(id, lastAnswered);
    if (copy === undefined) {
      return false;
    }
    this.sent += 1;
    socket.write(copy);
    return true;
  }

  private createForeign(id: string, earlier?: string): string | undefined {
    const {random} = this;
    const isDue =
      earlier !== undefined &&
      earlier !== id &&
      performance.now() < this.foreignUntil &&
      random() < COPY_SHARE;
    if (!isDue) {
      return undefined;
    }
    const statusLine = this.choose(STATUS_LINES);
    if (random() < UNIDENTIFIED_SHARE) {
      return formatCopy(undefined, statusLine);
    }
    const claim =
      random() < CLAIMING_SHARE ? this.choose(falseClaims).header : '';
    return formatCopy(earlier, `${statusLine}${claim}`);
  }

  private choose<T>(list: readonly T[]): T {
    return list[Math.floor(this.random() * list.length)];
  }

  private find(socket: Socket): CopiedConnection {
    const known = this.connections.get(socket) ?? {refused: new Set()};
    this.connections.set(socket, known);
    return known;
  }
}

/** A whole answer whose body names its request, so that a caller of another one shows it. */
function formatCopy(id: string | undefined, head: string): string {
  const body = `ran ${id ?? 'unknown'}`;
  const idLine = id === undefined ? '' : `x-whinreel-request-id: ${id}\r\n`;
  return `${head}${idLine}content-type: text/plain\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}
