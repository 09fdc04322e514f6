/** A plain backend server of the soak: it counts what it runs, and registers itself. */
import * as http from 'node:http';
import {AddressInfo} from 'node:net';

const HEARTBEAT_MS = 300;
const CALL_MS = 1_000;

/** Answers after a while; refuses, resets and stalls now and then. */
export class SoakBackend {
  /** How often each request was run, over all backend servers. */
  private sequence = 0;
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly server: http.Server,
    private readonly incarnation: string,
    private readonly random: () => number,
  ) {}

  /**
   * @param runs counts of runs by request id, shared by all backend servers
   * @param control where registrations go
   */
  static async create(
    incarnation: string,
    runs: Map<string, number>,
    control: () => string,
    random: () => number,
  ): Promise<SoakBackend> {
    const server = http.createServer();
    const backend = new SoakBackend(server, incarnation, random);
    server.on('request', (request, response) => {
      request.resume();
      request.on('end', () => backend.answer(request, response, runs));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    backend.timer = setInterval(
      () => backend.register(control()),
      HEARTBEAT_MS,
    );
    return backend;
  }

  close(): void {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  private answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    runs: Map<string, number>,
  ): void {
    const id = String(request.headers['x-whinreel-request-id']);
    const chance = this.random();
    if (request.headers['x-whinreel-expect-instance'] !== this.incarnation) {
      response.writeHead(421, {'x-whinreel-instance-id': this.incarnation});
      response.end();
      return;
    }
    if (chance < 0.05) {
      response.writeHead(503, {'x-whinreel-not-executed': '1'});
      response.end();
      return;
    }
    runs.set(id, (runs.get(id) ?? 0) + 1);
    if (chance < 0.1) {
      request.socket.resetAndDestroy();
      return;
    }
    setTimeout(() => {
      response.writeHead(200, {
        'x-whinreel-request-id': id,
        'x-whinreel-response-seal': 's',
      });
      response.end(`ran ${id}`);
    }, this.random() * 40);
  }

  private register(address: string): void {
    const {port} = this.server.address() as AddressInfo;
    this.sequence += 1;
    const body = JSON.stringify({
      service: 'p',
      address: `127.0.0.1:${port}`,
      zone: 'z',
      slots: 8,
      state: 'ready',
      sequence: this.sequence,
    });
    const call = http.request(
      `http://${address}/v1/replicas/${this.incarnation}`,
      {method: 'PUT', timeout: CALL_MS, agent: false},
      answer => answer.resume(),
    );
    call.on('timeout', () => call.destroy());
    // Control may be down; the next registration goes to another process.
    call.on('error', () => undefined);
    call.end(body);
  }
}
