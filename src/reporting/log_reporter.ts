/** Writes recorded events to standard output as structured log lines. */
import {Stream} from 'most';
import {Logger} from 'tslog';
import {SystemEvent} from '../common/system_event';
import {LineWriter} from './line_writer';

const STDOUT_DESCRIPTOR = 1;

/** Events to write and their format. */
interface LogReporterOptions {
  readonly program: string;
  readonly format: 'json' | 'pretty';
  readonly events: Stream<SystemEvent>;
  /** Events recorded before the reporter was started, oldest first. */
  readonly earlierEvents?: readonly SystemEvent[];
}

/** A running reporter. */
interface LogReporter {
  /** Waits until all lines have been written, up to a short timeout. */
  readonly drain: () => Promise<void>;
}

/**
 * Starts writing a line for each event. Events are changes of state, so an idle
 * process writes nothing.
 *
 * @example
 * const reporter = startLogReporter({program: 'whinreel-host', format: 'json', events: host.events.stream});
 */
export function startLogReporter(options: LogReporterOptions): LogReporter {
  const writer = LineWriter.create(STDOUT_DESCRIPTOR);
  const logger = new Logger<object>({
    name: options.program,
    type: options.format,
    // Determining the code position would cost a stack trace for each line.
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
  options.earlierEvents?.forEach(report);
  void options.events.observe(report);
  return {drain: () => writer.drain()};
}

/** Keeps only the time and the program of the metadata that tslog adds. */
function formatLine(line: unknown): string {
  const {_meta: meta, ...fields} = line as {
    _meta?: {date?: Date; name?: string};
  } & Record<string, unknown>;
  return JSON.stringify({time: meta?.date, program: meta?.name, ...fields});
}
