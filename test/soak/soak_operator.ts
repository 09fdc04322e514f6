/** Rolls configurations out and reads them back, as two operators at once would. */
import {formatBundle} from './format_bundle';
import {sendCall} from './send_call';
import {SoakFleet} from './soak_fleet';
import {SoakMachine} from './soak_machine';

/** Above the time in which control answers. */
const PATIENCE_MS = 2_500;
const OPERATORS = 2;
const BETWEEN_ROLL_OUTS_MS = 300;
const BETWEEN_READS_MS = 150;

/** Checks that what was acknowledged is never read back older. */
export class SoakOperator {
  acknowledged = 0;
  readonly broken: string[] = [];
  private ackedVersion = 0;
  private lastVersion = 0;
  private work: Array<Promise<void>> = [];
  private isOver = false;

  private constructor(private readonly fleet: SoakFleet) {}

  static create(fleet: SoakFleet): SoakOperator {
    return new SoakOperator(fleet);
  }

  start(): void {
    for (let at = 0; at < OPERATORS; at += 1) {
      this.work.push(this.repeat(() => this.rollOut(), BETWEEN_ROLL_OUTS_MS));
    }
    this.work.push(this.repeat(() => this.readBack(), BETWEEN_READS_MS));
  }

  async stop(): Promise<void> {
    this.isOver = true;
    await Promise.all(this.work);
  }

  async rollOut(): Promise<boolean> {
    this.lastVersion += 1;
    const version = this.lastVersion;
    const {isWhole, status} = await sendCall({
      url: this.createUrl(),
      method: 'PUT',
      body: formatBundle(version),
      patienceMs: PATIENCE_MS,
    });
    const isTaken = isWhole && status === 200;
    if (isTaken) {
      this.acknowledged += 1;
      this.ackedVersion = Math.max(this.ackedVersion, version);
    }
    return isTaken;
  }

  /** True when some version was read; an older one than was acknowledged before is a broken promise. */
  async readBack(at?: SoakMachine): Promise<boolean> {
    const acked = this.ackedVersion;
    const {isWhole, status, body} = await sendCall({
      url: this.createUrl(at),
      method: 'GET',
      patienceMs: PATIENCE_MS,
    });
    if (!isWhole || status !== 200) {
      return false;
    }
    const {version} = JSON.parse(body) as {version: number};
    if (version < acked) {
      this.broken.push(`version ${version} was read after ${acked} was acked`);
    }
    return true;
  }

  private createUrl(at?: SoakMachine): string {
    const {controls} = this.fleet;
    const address = this.fleet.choose(at ? [at] : controls, 'control');
    return `http://${address}/v1/config`;
  }

  private async repeat(
    step: () => Promise<unknown>,
    everyMs: number,
  ): Promise<void> {
    while (!this.isOver) {
      await step();
      await new Promise(resolve => setTimeout(resolve, everyMs));
    }
  }
}
