/** A service without a fault: two backend servers, and a steady trickle of requests to it at all gateways. */
import * as http from 'node:http';
import {AddressInfo} from 'node:net';
import {sendCall} from '../soak/send_call';
import {SoakMachine} from '../soak/soak_machine';
import {DrawnWorld} from './drawn_world';

const SERVERS = 2;
const SLOTS = 16;
const HEARTBEAT_MS = 300;
const CALL_MS = 1_000;
/** Between two requests of the trickle at one gateway. */
const PAUSE_MS = 80;
/** How long a server waits for the others that are to run at the same time. */
const HOLD_MS = 2_500;
const BODY = 'x'.repeat(2_000);
const PATHS = ['/sound/g/t', '/sound/u/t', '/sound/s/t', '/sound/a/t'];

/** Registers itself, and checks that every request is served. */
export class SoundService {
  /** Requests of the trickle that were served. */
  served = 0;
  private readonly servers: http.Server[] = [];
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly held = new Set<() => void>();
  private sequence = 0;
  private sent = 0;

  private constructor(private readonly world: DrawnWorld) {}

  static async create(world: DrawnWorld): Promise<SoundService> {
    const service = new SoundService(world);
    for (let at = 0; at < SERVERS; at += 1) {
      const server = http.createServer((request, response) =>
        service.answer(request, response),
      );
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', resolve),
      );
      service.servers.push(server);
    }
    const register = () =>
      service.servers.forEach((_, at) => void service.register(at));
    service.timers.push(setInterval(register, HEARTBEAT_MS));
    return service;
  }

  /** Begins the trickle. */
  startRequests(): void {
    for (const gateway of this.world.fleet.gateways) {
      const send = () => void this.checkServed(gateway);
      this.timers.push(setInterval(send, PAUSE_MS));
    }
  }

  /** Sends as many requests at once as the servers have slots, which end when all have arrived. */
  async checkSlots(): Promise<void> {
    const {gateways} = this.world.fleet;
    const count = SERVERS * SLOTS;
    const replies = await Promise.all(
      Array.from({length: count}, (_, at) => {
        const {ip, ports} = gateways[at % gateways.length].options;
        return this.send(`${ip}:${ports.front}`, '/sound/g/hold', `hold-${at}`);
      }),
    );
    const served = replies.filter(({status}) => status === 200).length;
    if (served < count) {
      const first = replies.find(({status}) => status !== 200);
      this.world.broken.record(
        'slots are lost',
        `${served} of ${count} served: ${JSON.stringify(first)}`,
      );
    }
  }

  close(): void {
    this.timers.forEach(timer => clearInterval(timer));
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  private send(address: string, path: string, id: string) {
    return sendCall({
      url: `http://${address}${path}`,
      method: 'POST',
      headers: {
        host: 'sound.example',
        authorization: 'Bearer sound-key',
        'x-whinreel-request-id': id,
        'x-whinreel-request-deadline-ms': '6000',
      },
      body: BODY,
    });
  }

  private async checkServed(gateway: SoakMachine): Promise<void> {
    const from = performance.now();
    if (this.world.fleet.wasDisturbed([gateway], from)) {
      return;
    }
    this.sent += 1;
    const {ip, ports} = gateway.options;
    const id = `sound-${this.sent}`;
    const path = PATHS[this.sent % PATHS.length];
    const reply = await this.send(`${ip}:${ports.front}`, path, id);
    const {status, body, isWhole, error} = reply;
    if (this.world.fleet.wasDisturbed([gateway], from)) {
      return;
    }
    if (status === 200 && isWhole && body.includes(id)) {
      this.served += 1;
    } else {
      const example = {gateway: ip, path, id, status, isWhole, body, error};
      this.world.broken.record(`a sound request got ${status}`, example);
    }
  }

  private answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const id = String(request.headers['x-whinreel-request-id']);
    const {url = ''} = request;
    const isStream = url.startsWith('/sound/s/');
    request.resume();
    const finish = () => {
      response.writeHead(200, {
        'content-type': isStream ? 'text/event-stream' : 'text/plain',
        'x-whinreel-request-id': id,
        'x-whinreel-response-seal': 's',
      });
      response.end(isStream ? `id: 1\ndata: ${id}\n\n` : `ran ${id}`);
    };
    request.on('end', () =>
      url === '/sound/g/hold' ? this.hold(finish) : finish(),
    );
  }

  private hold(finish: () => void): void {
    const release = () => {
      if (this.held.delete(release)) {
        finish();
      }
    };
    this.held.add(release);
    if (this.held.size === SERVERS * SLOTS) {
      [...this.held].forEach(each => each());
    }
    setTimeout(release, HOLD_MS);
  }

  private async register(at: number): Promise<void> {
    const {ip, ports} = this.world.fleet.chooseControl().options;
    const {port} = this.servers[at].address() as AddressInfo;
    this.sequence += 1;
    const reply = await sendCall({
      url: `http://${ip}:${ports.control}/v1/replicas/sound-${at}`,
      method: 'PUT',
      patienceMs: CALL_MS,
      body: JSON.stringify({
        service: 'sound',
        address: `127.0.0.1:${port}`,
        zone: 'z',
        version: 'v1',
        slots: SLOTS,
        state: 'ready',
        cold_remaining_ms: 0,
        sequence: this.sequence,
        ...this.world.start,
      }),
    });
    // Before the first configuration, no service is known.
    if (this.served > 0 && reply.status >= 400 && reply.status < 500) {
      this.world.broken.record(
        `a sound registration got ${reply.status}`,
        reply,
      );
    }
  }
}
