/** Writes events as structured log lines. */
import {Stream} from 'most';
import {Logger} from 'tslog';
import {SystemEvent} from '../common/system_event';

/** What to write and how. */
interface LogReporterOptions {
  readonly program: string;
  readonly format: 'json' | 'pretty';
  readonly events: Stream<SystemEvent>;
}

/**
 * Starts writing a line for each event: events are changes of state, so an idle
 * process writes nothing.
 *
 * @example
 * startLogReporter({program: 'whinreel-host', format: 'json', events: host.events.stream});
 */
export function startLogReporter(options: LogReporterOptions): void {
  const logger = new Logger<object>({
    name: options.program,
    type: options.format,
    // Finding the position costs a stack trace for each line.
    hideLogPositionForProduction: true,
    prettyLogTemplate: '{{dateIsoStr}} {{name}} ',
  });
  void options.events.observe(event => {
    const {type, subject, id, reason, details} = event;
    if (options.format === 'json') {
      logger.info({event: type, subject, id, reason, ...details});
    } else {
      logger.info(`${type} ${subject} ${id}: ${reason}`);
    }
  });
}
