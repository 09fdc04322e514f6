/** Callers of streams; one whose stream broke off, or that left, takes it up at another entry where the route allows it. */
import * as http from 'node:http';
import {checkStream} from './check_stream';
import {FaultLanes} from './fault_lanes';
import {sendCall} from './send_call';
import {SoakMachine} from './soak_machine';
import {soakRoutes} from './soak_routes';
import {StreamCall} from './stream_call';

const AT_ONCE = 40;
/** Part of the callers that keep their connections. */
const KEPT_SHARE = 0.5;
/** Longer than any stream without a disturbance, shorter than most freezes and two of their pauses. */
const PATIENCE_MS = 2_000;
/** Part of the requests whose callers leave early, from this long to this much longer after sending. */
const LEAVING_SHARE = 0.08;
const LEAVES_MS = 50;
const LEAVES_SPREAD_MS = 500;
const MAX_RESUMES = 6;
const BETWEEN_STREAMS_MS = 10;
/** So that refusals do not crowd out all else. */
const AFTER_FAILURE_MS = 60;
const ROUTES = Object.keys(soakRoutes).filter(
  route => soakRoutes[route].route_type === 'stream',
);

/** What callers work with. */
interface StreamCallersOptions {
  readonly entries: readonly SoakMachine[];
  /** Uniform in [0, 1), seeded. */
  readonly random: () => number;
}

/** Asks for streams one after the other, at several entries at once. */
export class StreamCallers {
  readonly calls: StreamCall[] = [];
  private work: Array<Promise<void>> = [];
  private readonly agents: http.Agent[] = [];
  private isOver = false;
  private nextKey = 0;

  private constructor(private readonly options: StreamCallersOptions) {}

  static create(options: StreamCallersOptions): StreamCallers {
    return new StreamCallers(options);
  }

  /** Beginnings of the paths on which streams are asked for. */
  static get routes(): readonly string[] {
    return ROUTES;
  }

  start(): void {
    for (let at = 0; at < AT_ONCE; at += 1) {
      const isKept = at < AT_ONCE * KEPT_SHARE;
      const agent = isKept ? new http.Agent({keepAlive: true}) : undefined;
      this.agents.push(...(agent ? [agent] : []));
      this.work.push(this.repeat(agent));
    }
  }

  /** Waits for the answers under way. */
  async stop(): Promise<void> {
    this.isOver = true;
    await Promise.all(this.work);
    this.agents.forEach(agent => agent.destroy());
  }

  /** Asks for one new stream; true when it was complete. */
  async send(entry: SoakMachine, route: string): Promise<boolean> {
    const call = await this.sendOnce({
      ...this.createStream(route),
      after: 0,
      entry,
    });
    return call.reply.isWhole && call.reply.status === 200;
  }

  private async repeat(agent?: http.Agent): Promise<void> {
    const {entries, random} = this.options;
    while (!this.isOver) {
      const stream = this.createStream(FaultLanes.pick(ROUTES, random));
      let entry = FaultLanes.pick(entries, random);
      let call = await this.sendOnce({...stream, after: 0, entry}, agent);
      for (let resumes = 1; this.mayResume(call, resumes); resumes += 1) {
        await FaultLanes.sleep(AFTER_FAILURE_MS * random());
        const others = entries.filter(other => other !== entry);
        entry = FaultLanes.pick(others, random);
        const after = checkStream(call).last;
        const requestId = `${stream.key}-${resumes}`;
        call = await this.sendOnce({...stream, requestId, after, entry}, agent);
      }
      const {isWhole} = call.reply;
      await FaultLanes.sleep(isWhole ? BETWEEN_STREAMS_MS : AFTER_FAILURE_MS);
    }
  }

  private mayResume({route, reply}: StreamCall, resumes: number): boolean {
    const isComplete = reply.isWhole && reply.status === 200;
    const {resumable = false} = soakRoutes[route];
    return resumable && !isComplete && resumes <= MAX_RESUMES;
  }

  private drawPatienceMs(): number {
    const {random} = this.options;
    const leavesMs = LEAVES_MS + random() * LEAVES_SPREAD_MS;
    return random() < LEAVING_SHARE ? leavesMs : PATIENCE_MS;
  }

  private createStream(route: string) {
    this.nextKey += 1;
    const key = `q${this.nextKey}`;
    return {key, requestId: key, route};
  }

  private async sendOnce(
    order: Omit<StreamCall, 'reply'>,
    agent?: http.Agent,
  ): Promise<StreamCall> {
    const {key, requestId, route, after, entry} = order;
    const {ip, ports} = entry.options;
    const reply = await sendCall({
      url: `http://${ip}:${ports.front}${route}${key}`,
      method: 'POST',
      headers: {
        host: 'h.example',
        'x-whinreel-request-id': requestId,
        'x-soak-key': key,
        ...(after > 0 ? {'last-event-id': `${after}`} : {}),
      },
      // Requests that are alike are held off once some servers have ended under them.
      body: key,
      agent,
      patienceMs: this.drawPatienceMs(),
    });
    const call = {...order, reply};
    this.calls.push(call);
    return call;
  }
}
