/** A backend server that registers with any values, and answers every request at once. */
import * as http from 'node:http';
import {AddressInfo} from 'node:net';
import {sendCall} from '../soak/send_call';
import {SoakReply} from '../soak/soak_reply';

const HEARTBEAT_MS = 300;
const CALL_MS = 1_000;
const FIRST_CLIENT_ERROR = 400;
const FIRST_SERVER_ERROR = 500;

interface FaultyBackendOptions {
  readonly id: string;
  readonly service: string;
  /** Where registrations go. */
  readonly control: () => string;
  /** Replace fields of its registrations. */
  readonly changes?: Readonly<Record<string, unknown>>;
}

/** Registers itself until it is closed. */
export class FaultyBackend {
  /** What became of its registrations, by status. */
  readonly statuses: Record<number, number> = {};
  /** Newest answer to a registration. */
  reply: SoakReply | undefined;
  /** Newest answer that refuses a registration for good. */
  refusal: SoakReply | undefined;
  private sequence = 0;
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly server: http.Server,
    private readonly options: FaultyBackendOptions,
  ) {}

  static async create(options: FaultyBackendOptions): Promise<FaultyBackend> {
    const server = http.createServer((request, response) => {
      request.resume();
      request.on('end', () => {
        const {url = ''} = request;
        const id = String(request.headers['x-whinreel-request-id']);
        const isStream = url.startsWith('/stream');
        response.writeHead(200, {
          'content-type': isStream ? 'text/event-stream' : 'text/plain',
          'x-whinreel-request-id': id,
          'x-whinreel-response-seal': 's',
        });
        response.end(isStream ? `id: 1\ndata: ${id}\n\n` : `ran ${id}`);
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const backend = new FaultyBackend(server, options);
    backend.timer = setInterval(() => void backend.register(), HEARTBEAT_MS);
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

  private async register(): Promise<void> {
    const {id, service, control, changes} = this.options;
    this.sequence += 1;
    this.reply = await sendCall({
      url: `http://${control()}/v1/replicas/${encodeURIComponent(id)}`,
      method: 'PUT',
      patienceMs: CALL_MS,
      body: JSON.stringify({
        service,
        address: `127.0.0.1:${this.port}`,
        zone: 'z',
        slots: 8,
        state: 'ready',
        sequence: this.sequence,
        ...changes,
      }),
    });
    const {status} = this.reply;
    this.statuses[status] = (this.statuses[status] ?? 0) + 1;
    if (status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR) {
      this.refusal = this.reply;
    }
  }
}
