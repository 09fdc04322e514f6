/** Runs a daemon as a process: startup, logging, signals and exit codes. */
import {CommanderError} from 'commander';
import {EventRing} from '../common/event_ring';
import {UsageError} from '../config/usage_error';
import {startLogReporter} from '../reporting/log_reporter';
import {writeFailure} from '../reporting/write_failure';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

/** A running daemon. */
interface Daemon {
  readonly events: EventRing;
  /** Ports by name, printed once when the daemon is ready. */
  readonly ports: Readonly<Record<string, number>>;
  /** Shuts down gracefully, without aborting work in progress. */
  readonly stop: () => Promise<void>;
  /** Resolves with the error that forces the daemon to exit. */
  readonly failed?: Promise<Error>;
}

/** A daemon that is ready to start, and the format of its log. */
interface DaemonOptions {
  readonly logFormat: 'json' | 'pretty';
  readonly start: () => Promise<Daemon>;
}

/**
 * Resolves the settings, starts the daemon, and shuts it down gracefully on SIGTERM
 * or SIGINT. The same signal again exits at once.
 *
 * @example
 * void runDaemon('whinreel-host', () => prepare(process.argv.slice(2), process.env));
 */
export async function runDaemon(
  program: string,
  prepare: () => DaemonOptions,
): Promise<void> {
  // Only observes: after an error that nothing caught the state is unknown, and the process ends.
  process.on('uncaughtExceptionMonitor', (thrown: unknown) => {
    const error = thrown instanceof Error ? thrown : new Error(String(thrown));
    writeFailure({program, error, status: EXIT_FAILURE});
  });
  try {
    const {logFormat, start} = prepare();
    // Registered before the start, since a signal without a handler terminates the process.
    const stopSignal = waitForSignal();
    const daemon = await start();
    const reporter = startLogReporter({
      program,
      format: logFormat,
      events: daemon.events.stream,
      earlierEvents: daemon.events.listSince(0),
    });
    process.stdout.write(
      `${JSON.stringify({ready: program, ...daemon.ports})}\n`,
    );
    void daemon.failed?.then(error => exitWithError(program, error));
    await stopOnSignal(program, daemon, stopSignal);
    await reporter.drain();
    process.exit(0);
  } catch (error) {
    exitWithError(program, error as Error);
  }
}

async function stopOnSignal(
  program: string,
  daemon: Daemon,
  stopSignal: Promise<string>,
): Promise<void> {
  const signal = await stopSignal;
  const signalledAt = performance.now();
  const record = (type: string, reason: string, tookMs: number) =>
    daemon.events.record({
      type,
      subject: 'process',
      id: program,
      reason,
      details: {tookMs: Math.round(tookMs)},
    });
  record('stop-begun', `received ${signal}`, 0);
  await daemon.stop();
  record(
    'stop-ended',
    'shutdown is complete; the process exits',
    performance.now() - signalledAt,
  );
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

function exitWithError(program: string, error: Error): never {
  if (error instanceof CommanderError && error.exitCode === 0) {
    process.exit(0);
  }
  const isUsage = error instanceof UsageError;
  const hint = isUsage ? ` (see ${program} --help)` : '';
  const status = isUsage ? EXIT_USAGE : EXIT_FAILURE;
  process.stderr.write(`${program}: ${error.message}${hint}\n`);
  writeFailure({program, error, status});
  process.exit(status);
}
