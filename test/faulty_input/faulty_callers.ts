/** Callers of all services, at all gateways. */
import {SoakMachine} from '../soak/soak_machine';
import {SoakReply} from '../soak/soak_reply';
import {FaultyFleet} from './faulty_fleet';

/** About 40 requests a second. */
const BETWEEN_REQUESTS_MS = 25;

interface AnsweredCall {
  readonly service: string;
  readonly entry: SoakMachine;
  readonly reply: SoakReply;
}

/** Sends requests at a steady rate, whatever becomes of them. */
export class FaultyCallers {
  readonly answered: AnsweredCall[] = [];
  private readonly underWay = new Set<Promise<void>>();
  private readonly timer: NodeJS.Timeout;
  private sent = 0;

  private constructor(private readonly fleet: FaultyFleet) {
    this.timer = setInterval(() => this.sendNext(), BETWEEN_REQUESTS_MS);
  }

  static create(fleet: FaultyFleet): FaultyCallers {
    return new FaultyCallers(fleet);
  }

  /** Sends no more, and waits for the answers under way. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.underWay);
  }

  private sendNext(): void {
    const {calls} = FaultyFleet;
    const {entries} = this.fleet;
    const call = calls[this.sent % calls.length];
    const round = Math.floor(this.sent / calls.length);
    const entry = entries[(this.sent + round) % entries.length];
    this.sent += 1;
    const work = this.fleet.call(entry, call).then(reply => {
      this.answered.push({service: call.service, entry, reply});
      this.underWay.delete(work);
    });
    this.underWay.add(work);
  }
}
