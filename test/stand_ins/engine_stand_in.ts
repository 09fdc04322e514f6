/**
 * A small stand-in for a model engine or a plain service. It counts every run,
 * so that tests have a witness of what truly ran.
 */
import * as http from 'node:http';
import {AddressInfo} from 'node:net';

const ANNOUNCE_EVERY_MS = 200;
const DEFAULT_TOKENS = 16;

/** How the stand-in behaves. */
interface EngineStandInOptions {
  readonly kind: 'model' | 'service';
  readonly name: string;
  /** Where it announces itself, like `127.0.0.1:7200`. */
  readonly announceTo?: string;
  readonly firstTokenMs?: number;
  readonly tokenMs?: number;
  /** False for an engine that takes orders whatever their fencing number. */
  readonly honoursFencing?: boolean;
  /** How late the load report is. */
  readonly loadLagMs?: number;
  /** Every n-th cache event is lost; 0 loses none. */
  readonly loseEveryNthEvent?: number;
}

interface Order {
  readonly fencing: number;
  readonly group: string;
  readonly rank: number;
  readonly model: string;
}

/** Takes requests, orders and questions over HTTP. */
export class EngineStandIn {
  /** Runs that were started, by attempt id. */
  readonly runs = new Map<string, number>();
  /** Runs that were started, by the text of the request's body. */
  readonly runsByBody = new Map<string, number>();
  /** Group and epoch that each run was started under. */
  readonly epochs: Array<{at: number; group: string; epoch: number}> = [];
  readonly orders: Order[] = [];
  readonly refusedOrders: Order[] = [];
  /** Runs that the other side gave up. */
  cancelled = 0;
  running = 0;
  isLeaving = false;
  /** The model or service that it announces. */
  loaded: string;
  /** Set to hold every answer back until it is cleared. */
  hold: Promise<void> | undefined;
  /** Ends streams early, without their end mark, after this many tokens. */
  breakAfterTokens: number | undefined;
  tokenMs: number;
  firstTokenMs: number;
  private readonly cacheEvents: Array<{sequence: number; prefix: string}> = [];
  private cacheSequence = 0;
  private laggedRunning = 0;
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly handlers: Record<string, http.RequestListener> = {
    'POST /orders': (request, response) =>
      void this.takeOrder(request, response),
    'POST /load': (request, response) => void this.load(request, response),
    'GET /load': (_request, response) =>
      answerJson(response, 200, {running: this.laggedRunning}),
    'GET /events': (_request, response) =>
      answerJson(response, 200, this.cacheEvents),
    'POST /v1/chat/completions': (request, response) =>
      void this.complete(request, response),
  };

  private constructor(
    private readonly options: EngineStandInOptions,
    private readonly server: http.Server,
  ) {
    this.loaded = options.name;
    this.tokenMs = options.tokenMs ?? 0;
    this.firstTokenMs = options.firstTokenMs ?? 0;
  }

  /** Starts listening on a free port and announcing itself. */
  static async create(options: EngineStandInOptions): Promise<EngineStandIn> {
    const server = http.createServer();
    const standIn = new EngineStandIn(options, server);
    server.on('request', (request, response) =>
      standIn.handle(request, response),
    );
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    standIn.start();
    return standIn;
  }

  get url(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  get totalRuns(): number {
    return [...this.runs.values()].reduce((sum, count) => sum + count, 0);
  }

  async close(): Promise<void> {
    this.timers.forEach(timer => clearInterval(timer));
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  private start(): void {
    const lag = this.options.loadLagMs ?? 0;
    this.timers.push(
      setInterval(() => {
        const {running} = this;
        setTimeout(() => (this.laggedRunning = running), lag).unref();
      }, ANNOUNCE_EVERY_MS),
    );
    if (this.options.announceTo) {
      this.announce();
      this.timers.push(setInterval(() => this.announce(), ANNOUNCE_EVERY_MS));
    }
  }

  private announce(): void {
    const {kind, announceTo} = this.options;
    const {isLeaving, url, loaded: name} = this;
    const body = JSON.stringify({kind, name, url, accelerators: 8, isLeaving});
    const request = http.request(`http://${announceTo}/announce`, {
      method: 'POST',
    });
    request.on('response', response => response.resume());
    request.on('error', () => undefined);
    request.end(body);
  }

  private handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const handler = this.handlers[`${request.method} ${request.url}`];
    if (handler) {
      handler(request, response);
    } else if (this.options.kind === 'service') {
      void this.serve(request, response);
    } else {
      answerJson(response, 404, {error: 'unknown path'});
    }
  }

  private async takeOrder(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const order = JSON.parse(await readText(request)) as Order;
    const highest = Math.max(0, ...this.orders.map(({fencing}) => fencing));
    if ((this.options.honoursFencing ?? true) && order.fencing < highest) {
      this.refusedOrders.push(order);
      answerJson(response, 409, {
        error: `fencing number ${order.fencing} is below ${highest}`,
      });
      return;
    }
    this.orders.push(order);
    this.loaded = order.model;
    answerJson(response, 200, {});
  }

  private async load(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const {model} = JSON.parse(await readText(request)) as {model: string};
    this.loaded = model;
    answerJson(response, 200, {});
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await readText(request);
    this.countRun(request, body);
    this.running += 1;
    await this.hold;
    await sleep(this.firstTokenMs);
    this.running -= 1;
    answerJson(response, 200, {
      path: request.url,
      method: request.method,
      received: body,
    });
  }

  private async complete(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const text = await readText(request);
    const body = JSON.parse(text) as {
      stream?: boolean;
      max_tokens?: number;
      messages?: unknown;
    };
    this.countRun(request, text);
    this.recordCacheEvent(JSON.stringify(body.messages ?? ''));
    this.running += 1;
    let isDisconnected = false;
    response.on('close', () => (isDisconnected = !response.writableFinished));
    await this.hold;
    await sleep(this.firstTokenMs);
    const count = body.max_tokens ?? DEFAULT_TOKENS;
    if (body.stream) {
      const resumeAfter = Number(request.headers['whinreel-resume-after'] ?? 0);
      await this.stream(
        response,
        {from: resumeAfter, count},
        () => isDisconnected,
      );
    } else {
      const content = Array.from({length: count}, (_, at) => `t${at}`).join(
        ' ',
      );
      answerJson(response, 200, {
        choices: [{index: 0, message: {role: 'assistant', content}}],
      });
    }
    this.running -= 1;
    this.cancelled += isDisconnected ? 1 : 0;
  }

  private async stream(
    response: http.ServerResponse,
    {from, count}: {from: number; count: number},
    isDisconnected: () => boolean,
  ): Promise<void> {
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      ...(from > 0 ? {'whinreel-resumed-from': String(from)} : {}),
    });
    for (let at = from; at < count && !isDisconnected(); at += 1) {
      if (at === this.breakAfterTokens) {
        response.end();
        return;
      }
      if (at > 0) {
        await sleep(this.tokenMs);
      }
      const chunk = {choices: [{index: 0, delta: {content: `t${at} `}}]};
      response.write(`data: ${JSON.stringify(chunk)}\n\n`);
      await this.hold;
      if (response.writableNeedDrain) {
        await waitForDrain(response);
      }
    }
    response.end('data: [DONE]\n\n');
  }

  private countRun(request: http.IncomingMessage, body: string): void {
    const id = request.headers['whinreel-attempt-id']?.toString() ?? '';
    this.epochs.push({
      at: performance.now(),
      group: request.headers['whinreel-group']?.toString() ?? '',
      epoch: Number(request.headers['whinreel-epoch'] ?? 0),
    });
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    this.runsByBody.set(body, (this.runsByBody.get(body) ?? 0) + 1);
  }

  /** Cache events come late and with gaps, as real engines publish them. */
  private recordCacheEvent(prefix: string): void {
    this.cacheSequence += 1;
    const sequence = this.cacheSequence;
    const every = this.options.loseEveryNthEvent ?? 0;
    if (every > 0 && sequence % every === 0) {
      return;
    }
    const lag = this.options.loadLagMs ?? 0;
    setTimeout(() => this.cacheEvents.push({sequence, prefix}), lag).unref();
  }
}

function answerJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}

async function readText(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

function sleep(ms: number): Promise<void> {
  return ms > 0
    ? new Promise(resolve => setTimeout(resolve, ms))
    : Promise.resolve();
}

/** Resolves when the response accepts writes again or its connection has closed. */
function waitForDrain(response: http.ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const proceed = () => {
      response.off('drain', proceed).off('close', proceed);
      resolve();
    };
    response.on('drain', proceed).on('close', proceed);
  });
}
