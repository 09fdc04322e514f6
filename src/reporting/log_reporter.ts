/** Writes events as structured log lines. */
import {Stream} from 'most';
import {Logger} from 'tslog';
import {SystemEvent} from '../common/system_event';
import {LineWriter} from './line_writer';

const STANDARD_OUTPUT = 1;

/** What to write and how. */
interface LogReporterOptions {
  readonly program: string;
  readonly format: 'json' | 'pretty';
  readonly events: Stream<SystemEvent>;
  /** What happened before there was a reporter, oldest first. */
  readonly earlier?: readonly SystemEvent[];
}

/** A reporter that writes. */
interface LogReporter {
  /** Waits until the newest lines were taken, a short time at most. */
  readonly drain: () => Promise<void>;
}

/**
 * Starts writing a line for each event: events are changes of state, so an idle
 * process writes nothing.
 *
 * @example
 * const reporter = startLogReporter({program: 'whinreel-host', format: 'json', events: host.events.stream});
 */
export function startLogReporter(options: LogReporterOptions): LogReporter {
  const writer = LineWriter.create(STANDARD_OUTPUT);
  const logger = new Logger<object>({
    name: options.program,
    type: options.format,
    // Finding the position costs a stack trace for each line.
    hideLogPositionForProduction: true,
    prettyLogTemplate: '{{dateIsoStr}} {{name}} ',
    overwrite: {
      transportJSON: line => writer.write(formatLine(line)),
      transportFormatted: (meta, parts, errors) =>
        writer.write([meta, ...parts, ...errors].join(' ')),
    },
  });
  const report = (event: SystemEvent) => {
    const {type, subject, id, reason, details} = event;
    if (options.format === 'json') {
      logger.info({event: type, subject, id, reason, ...details});
    } else {
      logger.info(`${type} ${subject} ${id}: ${reason}`);
    }
  };
  options.earlier?.forEach(report);
  void options.events.observe(report);
  return {drain: () => writer.drain()};
}

/** Of what the library adds, time and program are kept. */
function formatLine(line: unknown): string {
  const {_meta: meta, ...fields} = line as {
    _meta?: {date?: Date; name?: string};
  } & Record<string, unknown>;
  return JSON.stringify({time: meta?.date, program: meta?.name, ...fields});
}
