/** A backend server that answers at once, as long as the path asks for. */
import * as http from 'node:http';
import {AddressInfo} from 'node:net';
import {sendCall} from '../soak/send_call';

const INCARNATION = 'crowd-backend';
const HEARTBEAT_MS = 300;
const LONG_PATH = '/g/long';
/** Below the 8 MiB that a gateway holds of one response. */
const LONG_ANSWER = Buffer.alloc(7 * 1024 * 1024, 'x');

/** Registers itself until it is closed. */
export class CrowdBackend {
  /** Answers that were sent whole. */
  answered = 0;
  private sequence = 0;
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly server: http.Server,
    private readonly control: string,
  ) {}

  /** @param control address of the control process that it registers with */
  static async create(control: string): Promise<CrowdBackend> {
    const server = http.createServer();
    const backend = new CrowdBackend(server, control);
    server.on('request', (request, response) => {
      request.resume();
      request.on('end', () => backend.answer(request, response));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    backend.timer = setInterval(() => backend.register(), HEARTBEAT_MS);
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
  ): void {
    const id = String(request.headers['x-whinreel-request-id']);
    const body = request.url === LONG_PATH ? LONG_ANSWER : `ran ${id}`;
    response.once('finish', () => (this.answered += 1));
    response.writeHead(200, {
      'content-type': 'text/plain',
      'content-length': String(body.length),
      'x-whinreel-request-id': id,
      'x-whinreel-response-seal': 's',
    });
    response.end(body);
  }

  private register(): void {
    const {port} = this.server.address() as AddressInfo;
    this.sequence += 1;
    void sendCall({
      url: `http://${this.control}/v1/replicas/${INCARNATION}`,
      method: 'PUT',
      body: JSON.stringify({
        service: 'p',
        address: `127.0.0.1:${port}`,
        zone: 'z',
        slots: 500,
        state: 'ready',
        sequence: this.sequence,
      }),
    });
  }
}
