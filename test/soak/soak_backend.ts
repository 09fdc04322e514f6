/** A plain backend server of the soak: it notes what it runs, and registers itself. */
import * as http from 'node:http';
import {AddressInfo} from 'node:net';
import {sendCall} from './send_call';
import {SoakSignals} from './soak_signals';
import {SoakWork} from './soak_work';

const HEARTBEAT_MS = 300;
const CALL_MS = 1_000;
/** Parts of the requests that are refused, and broken off. */
const REFUSED_SHARE = 0.04;
const BROKEN_SHARE = 0.04;
const ANSWER_WITHIN_MS = 40;
/** A stream takes from this long to this much longer. */
const STREAM_MS = 100;
const STREAM_SPREAD_MS = 900;

/** What a backend server works with. */
interface SoakBackendOptions {
  readonly incarnation: string;
  /** By request id, shared by all backend servers. */
  readonly work: Map<string, SoakWork>;
  /** Where registrations go. */
  readonly control: () => string;
  readonly random: () => number;
  readonly signals: SoakSignals;
}

/** Answers after a while, or as a stream; refuses and breaks off now and then. */
export class SoakBackend {
  /** The port that it tells: its own, or that of a relay before it. */
  toldPort = 0;
  private sequence = 0;
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly server: http.Server,
    private readonly options: SoakBackendOptions,
  ) {}

  static async create(options: SoakBackendOptions): Promise<SoakBackend> {
    const server = http.createServer();
    const backend = new SoakBackend(server, options);
    server.on('request', (request, response) => {
      request.resume();
      request.on('end', () => backend.answer(request, response));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    backend.toldPort = backend.port;
    backend.timer = setInterval(() => backend.register(), HEARTBEAT_MS);
    return backend;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Events of a request's stream; the same at every backend server. */
  static countEvents(id: string): number {
    return 3 + (Number(id.slice(1)) % 8);
  }

  /** One event of a request's stream. */
  static formatEvent(id: string, at: number): string {
    return `id: ${at}\ndata: ${id} ${at}/${SoakBackend.countEvents(id)}\n\n`;
  }

  close(): void {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  private answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const {incarnation, random} = this.options;
    const id = String(request.headers['x-whinreel-request-id']);
    const chance = random();
    if (request.headers['x-whinreel-expect-instance'] !== incarnation) {
      response.writeHead(421, {'x-whinreel-instance-id': incarnation});
      response.end();
      return;
    }
    const {signals} = this.options;
    signals.recordReached();
    if (chance < REFUSED_SHARE) {
      response.writeHead(503, {
        'x-whinreel-not-executed': '1',
        ...signals.createRefusal(),
      });
      response.end();
      return;
    }
    const work = this.findWork(id);
    work.runs += 1;
    work.at.add(incarnation);
    const breaks = chance < REFUSED_SHARE + BROKEN_SHARE;
    if (request.url?.startsWith('/a/') || request.url?.startsWith('/g/')) {
      this.answerOnce(id, response, breaks);
    } else {
      const after = Number(request.headers['last-event-id'] ?? 0);
      this.answerStream(id, response, after, breaks);
    }
  }

  private answerOnce(
    id: string,
    response: http.ServerResponse,
    breaks: boolean,
  ): void {
    setTimeout(() => {
      if (breaks) {
        this.breakOff(id, response);
        return;
      }
      response.writeHead(200, this.createHead(id, 'text/plain'));
      response.end(`ran ${id}`);
    }, this.options.random() * ANSWER_WITHIN_MS);
  }

  /** Goes on behind the event that the request names; may break off within an event. */
  private answerStream(
    id: string,
    response: http.ServerResponse,
    after: number,
    breaks: boolean,
  ): void {
    const {random} = this.options;
    const count = SoakBackend.countEvents(id);
    const pauseMs = (STREAM_MS + random() * STREAM_SPREAD_MS) / count;
    const breaksAt = breaks ? after + 1 + Math.floor(random() * count) : 0;
    const writeFrom = (at: number) => {
      if (response.destroyed) {
        return;
      }
      if (at > count) {
        response.end();
        return;
      }
      const text = SoakBackend.formatEvent(id, at);
      if (at === breaksAt) {
        response.write(text.slice(0, text.length / 2));
        this.breakOff(id, response);
        return;
      }
      response.write(text);
      setTimeout(() => writeFrom(at + 1), pauseMs);
    };
    response.writeHead(200, this.createHead(id, 'text/event-stream'));
    response.flushHeaders();
    setTimeout(() => writeFrom(after + 1), pauseMs);
  }

  private breakOff(id: string, response: http.ServerResponse): void {
    this.findWork(id).hasBroken = true;
    response.socket?.resetAndDestroy();
  }

  private createHead(id: string, type: string): Record<string, string> {
    return {
      'content-type': type,
      'x-whinreel-request-id': id,
      'x-whinreel-response-seal': 's',
      ...this.options.signals.createHeaders(),
    };
  }

  private findWork(id: string): SoakWork {
    const {work} = this.options;
    const known = work.get(id) ?? {runs: 0, hasBroken: false, at: new Set()};
    work.set(id, known);
    return known;
  }

  /** Control may be down; the next registration goes to another process. */
  private register(): void {
    const {incarnation, control} = this.options;
    this.sequence += 1;
    void sendCall({
      url: `http://${control()}/v1/replicas/${incarnation}`,
      method: 'PUT',
      patienceMs: CALL_MS,
      body: JSON.stringify({
        service: 'p',
        address: `127.0.0.1:${this.toldPort}`,
        zone: 'z',
        slots: 8,
        state: 'ready',
        sequence: this.sequence,
      }),
    });
  }
}
