/** What every daemon's binary does around the library. */
import {CommanderError} from 'commander';
import {EventRing} from '../common/event_ring';
import {UsageError} from '../config/usage_error';
import {startLogReporter} from '../reporting/log_reporter';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

/** A started daemon. */
interface Daemon {
  readonly events: EventRing;
  /** Ports by name, printed once when the daemon is up. */
  readonly ports: Readonly<Record<string, number>>;
  /** Stops without cutting off work under way. */
  readonly stop: () => Promise<void>;
  /** Settles when the daemon must stop by itself. */
  readonly failed?: Promise<Error>;
}

/** How a daemon is started. */
interface DaemonStart {
  readonly logFormat: 'json' | 'pretty';
  readonly start: () => Promise<Daemon>;
}

/**
 * Resolves the settings, starts the daemon, and stops it on SIGTERM or SIGINT.
 * A second signal stops at once.
 *
 * @example
 * void runDaemon('whinreel-host', () => prepare(process.argv.slice(2), process.env));
 */
export async function runDaemon(
  program: string,
  prepare: () => DaemonStart,
): Promise<void> {
  try {
    const {logFormat, start} = prepare();
    // Before the start, since a signal that nobody waits for ends the process.
    const told = waitForSignal();
    const daemon = await start();
    const reporter = startLogReporter({
      program,
      format: logFormat,
      events: daemon.events.stream,
      earlier: daemon.events.listSince(0),
    });
    process.stdout.write(
      `${JSON.stringify({ready: program, ...daemon.ports})}\n`,
    );
    void daemon.failed?.then(error => exitWith(program, error));
    await stopOnSignal(program, daemon, told);
    await reporter.drain();
    process.exit(0);
  } catch (error) {
    exitWith(program, error as Error);
  }
}

async function stopOnSignal(
  program: string,
  daemon: Daemon,
  told: Promise<string>,
): Promise<void> {
  const signal = await told;
  const toldAt = performance.now();
  const record = (type: string, reason: string, tookMs: number) =>
    daemon.events.record({
      type,
      subject: 'process',
      id: program,
      reason,
      details: {tookMs: Math.round(tookMs)},
    });
  record('stop-begun', `told by ${signal}`, 0);
  await daemon.stop();
  record('stop-ended', 'the process ends', performance.now() - toldAt);
}

function waitForSignal(): Promise<string> {
  return new Promise(resolve => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => {
        resolve(signal);
        process.once(signal, () => process.exit(EXIT_FAILURE));
      });
    }
  });
}

function exitWith(program: string, error: Error): never {
  if (error instanceof CommanderError && error.exitCode === 0) {
    process.exit(0);
  }
  const isUsage = error instanceof UsageError;
  const hint = isUsage ? ` (see ${program} --help)` : '';
  process.stderr.write(`${program}: ${error.message}${hint}\n`);
  process.exit(isUsage ? EXIT_USAGE : EXIT_FAILURE);
}
