/** A plain backend server of the soak: it notes what it runs, and registers itself. */
import * as http from 'node:http';
import {AddressInfo} from 'node:net';
import {endlessKinds} from './endless_kinds';
import {EndlessResponses} from './endless_responses';
import {LateCopies} from './late_copies';
import {sendCall} from './send_call';
import {soakRoutes} from './soak_routes';
import {SoakSignals} from './soak_signals';
import {soakStream} from './soak_stream';
import {SoakWork} from './soak_work';

const HEARTBEAT_MS = 300;
const CALL_MS = 1_000;
/** Parts of the requests that are refused, and broken off. */
const REFUSED_SHARE = 0.04;
const BROKEN_SHARE = 0.04;
const OK = 200;
const NOT_EXECUTED = {'x-whinreel-not-executed': '1'};
/** Part of the plain answers whose status and mark contradict each other, of requests that ran. */
const CONTRADICTORY_SHARE = 0.04;
const CONTRADICTIONS = [
  {status: 408, mark: {}},
  {status: 429, mark: {}},
  {status: 503, mark: {}},
  {status: OK, mark: NOT_EXECUTED},
  {status: 500, mark: NOT_EXECUTED},
];
const ANSWER_WITHIN_MS = 40;
/** A stream takes from this long to this much longer. */
const STREAM_MS = 100;
const STREAM_SPREAD_MS = 900;

/** What a backend server works with. */
interface SoakBackendOptions {
  readonly incarnation: string;
  /** By request key, shared by all backend servers. */
  readonly work: Map<string, SoakWork>;
  /** Where registrations go. */
  readonly control: () => string;
  readonly random: () => number;
  readonly signals: SoakSignals;
  /** Faults of its answers, which come for a while when drawn. */
  readonly copies: LateCopies;
  readonly endless: EndlessResponses;
}

/** One request and where its answer goes. */
interface SoakArrival {
  readonly id: string;
  readonly key: string;
  /** Number of the last event that its caller has. */
  readonly after: number;
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

/** Answers after a while, or as a stream; refuses and breaks off now and then. */
export class SoakBackend {
  /** The port that it tells: its own, or that of a relay before it. */
  toldPort = 0;
  private sequence = 0;
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly server: http.Server,
    readonly options: SoakBackendOptions,
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

  close(): void {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  private answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const {incarnation, random, signals, copies, endless} = this.options;
    const {headers, socket} = request;
    const id = String(headers['x-whinreel-request-id']);
    const key = String(headers['x-soak-key']);
    const after = Number(headers['last-event-id'] ?? 0);
    const arrival = {id, key, after, request, response};
    const chance = random();
    response.once('finish', () => copies.recordAnswer(id, socket));
    if (headers['x-whinreel-expect-instance'] !== incarnation) {
      response.writeHead(421, {
        'x-whinreel-request-id': id,
        'x-whinreel-instance-id': incarnation,
      });
      response.end();
      return;
    }
    signals.recordReached();
    if (chance < REFUSED_SHARE || copies.takeRefusal(id, socket)) {
      response.writeHead(503, {
        'x-whinreel-request-id': id,
        ...NOT_EXECUTED,
        ...signals.createRefusal(),
      });
      response.end();
      return;
    }
    const isStream = findRouteType(request) === 'stream';
    const kind = endless.chooseKind(isStream);
    if (kind === undefined || endlessKinds[kind].runs) {
      this.recordRun(key);
    }
    if (kind !== undefined) {
      this.recordBroken(key);
      endless.send(kind, arrival, socket);
      return;
    }
    if (copies.send(id, socket)) {
      this.recordBroken(key);
    }
    const breaks = chance < REFUSED_SHARE + BROKEN_SHARE;
    if (isStream) {
      this.answerStream(arrival, breaks);
    } else {
      this.answerOnce(arrival, breaks);
    }
  }

  private recordRun(key: string): void {
    const work = this.findWork(key);
    work.runs += 1;
    work.at.add(this.options.incarnation);
  }

  /** Only for a request that runs: one that does not has no work. */
  private recordBroken(key: string): void {
    const work = this.options.work.get(key);
    if (work) {
      work.hasBroken = true;
    }
  }

  private answerOnce(arrival: SoakArrival, breaks: boolean): void {
    const {id, response} = arrival;
    setTimeout(() => {
      if (breaks) {
        this.breakOff(arrival);
        return;
      }
      const {status, mark} = this.chooseOutcome();
      const head = this.createHead(id, 'text/plain');
      response.writeHead(status, {...head, ...mark});
      response.end(`ran ${id}`);
    }, this.options.random() * ANSWER_WITHIN_MS);
  }

  /** Goes on behind the event that the request names; may break off within an event. */
  private answerStream(arrival: SoakArrival, breaks: boolean): void {
    const {id, response, after} = arrival;
    const {random} = this.options;
    const count = soakStream.countEvents(id);
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
      const text = soakStream.formatEvent(id, at);
      if (at === breaksAt) {
        response.write(text.slice(0, text.length / 2));
        this.breakOff(arrival);
        return;
      }
      response.write(text);
      setTimeout(() => writeFrom(at + 1), pauseMs);
    };
    response.writeHead(200, this.createHead(id, 'text/event-stream'));
    response.flushHeaders();
    setTimeout(() => writeFrom(after + 1), pauseMs);
  }

  private breakOff({key, request}: SoakArrival): void {
    this.recordBroken(key);
    request.socket.resetAndDestroy();
  }

  private chooseOutcome(): {status: number; mark: Record<string, string>} {
    const {random} = this.options;
    const at = Math.floor(random() * CONTRADICTIONS.length);
    const contradicts = random() < CONTRADICTORY_SHARE;
    return contradicts ? CONTRADICTIONS[at] : {status: OK, mark: {}};
  }

  private createHead(id: string, type: string): Record<string, string> {
    return {
      'content-type': type,
      'x-whinreel-request-id': id,
      'x-whinreel-response-seal': 's',
      ...this.options.signals.createHeaders(),
    };
  }

  private findWork(key: string): SoakWork {
    const {work} = this.options;
    const known = work.get(key) ?? {runs: 0, hasBroken: false, at: new Set()};
    work.set(key, known);
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

function findRouteType({url = ''}: http.IncomingMessage): string | undefined {
  const prefix = Object.keys(soakRoutes).find(each => url.startsWith(each));
  return prefix && soakRoutes[prefix].route_type;
}
