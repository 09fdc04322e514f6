import {ManagedProcess} from '../support/managed_process';
import {reservePort} from '../support/reserve_port';
import {SoakProcess} from './soak_process';

/** What a backend server is told. */
interface StreamServerOptions {
  readonly label: string;
  readonly seed: number;
  /** Addresses of control processes. */
  readonly controls: readonly string[];
}

/** Lets each start of a backend server draw for itself. */
const START_SEEDS = 1_000_000;

/** A backend server in a process of its own; it keeps its name and address over restarts. */
export class StreamServer extends SoakProcess {
  private starts = 0;

  private constructor(
    private readonly options: StreamServerOptions,
    private readonly port: number,
  ) {
    super();
  }

  static async create(options: StreamServerOptions): Promise<StreamServer> {
    return new StreamServer(options, await reservePort());
  }

  override get label(): string {
    return this.options.label;
  }

  protected override launch(): Promise<ManagedProcess> {
    const {port} = this;
    const {label, controls} = this.options;
    const seed = this.options.seed + this.starts * START_SEEDS;
    this.starts += 1;
    return ManagedProcess.create({
      label,
      script: 'test/soak/stream_backend.js',
      args: [],
      env: {
        STREAM_BACKEND: JSON.stringify({name: label, port, seed, controls}),
      },
    });
  }
}
