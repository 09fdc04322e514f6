/** Callers with connections that they keep to the end, beside others with new ones. */
import * as http from 'node:http';
import {sendCall} from './send_call';
import {SoakFleet} from './soak_fleet';
import {SoakMachine} from './soak_machine';
import {SoakRequest} from './soak_request';
import {soakRoutes} from './soak_routes';

/** At each entry. */
const ON_KEPT_CONNECTIONS = 4;
const ON_NEW_CONNECTIONS = 2;
const BETWEEN_REQUESTS_MS = 15;
/** After a failure, so that refusals do not crowd out all else. */
const AFTER_FAILURE_MS = 60;
const REFUSED = 503;
const ROUTES = Object.keys(soakRoutes);

/** Sends requests one after the other, at several places at once. */
export class SoakCallers {
  readonly requests: SoakRequest[] = [];
  private readonly agents: http.Agent[] = [];
  private work: Array<Promise<void>> = [];
  private isOver = false;
  private nextId = 0;

  private constructor(
    private readonly fleet: SoakFleet,
    private readonly random: () => number,
  ) {}

  static create(fleet: SoakFleet, random: () => number): SoakCallers {
    return new SoakCallers(fleet, random);
  }

  start(): void {
    for (const entry of this.fleet.entries) {
      for (let at = 0; at < ON_KEPT_CONNECTIONS; at += 1) {
        const agent = new http.Agent({keepAlive: true, maxSockets: 1});
        this.agents.push(agent);
        this.work.push(this.repeat(entry, agent));
      }
      for (let at = 0; at < ON_NEW_CONNECTIONS; at += 1) {
        this.work.push(this.repeat(entry));
      }
    }
  }

  /** Sends one request; true when it was answered with success. */
  async send(
    entry: SoakMachine,
    route: string,
    agent?: http.Agent,
  ): Promise<boolean> {
    this.nextId += 1;
    const id = `q${this.nextId}`;
    const {reply} = await this.sendOnce({id, key: id, route, entry}, agent);
    if (reply.status !== REFUSED) {
      return reply.isWhole && reply.status === 200;
    }
    // It has not run, so its caller may send it once more as the same request.
    await new Promise(resolve => setTimeout(resolve, AFTER_FAILURE_MS));
    const again = {id, key: `${id} again`, route, entry};
    const {reply: second} = await this.sendOnce(again, agent);
    return second.isWhole && second.status === 200;
  }

  /** Waits for the answers under way. */
  async stop(): Promise<void> {
    this.isOver = true;
    await Promise.all(this.work);
    this.agents.forEach(agent => agent.destroy());
  }

  private async sendOnce(
    order: Omit<SoakRequest, 'reply'>,
    agent?: http.Agent,
  ): Promise<SoakRequest> {
    const {id, key, route, entry} = order;
    const {ip, ports} = entry.options;
    const reply = await sendCall({
      url: `http://${ip}:${ports.front}${route}x`,
      method: 'POST',
      headers: {
        host: 'h.example',
        'x-whinreel-request-id': id,
        'x-soak-key': key,
      },
      body: 'order',
      agent,
    });
    const request = {...order, reply};
    this.requests.push(request);
    return request;
  }

  private async repeat(entry: SoakMachine, agent?: http.Agent): Promise<void> {
    while (!this.isOver) {
      const route = ROUTES[Math.floor(this.random() * ROUTES.length)];
      const wasServed = await this.send(entry, route, agent);
      const pauseMs = wasServed ? BETWEEN_REQUESTS_MS : AFTER_FAILURE_MS;
      await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
  }
}
