import {writeSync} from 'node:fs';

const STDOUT_DESCRIPTOR = 1;
const MAX_REASON_LENGTH = 500;
const MAX_STACK_LENGTH = 2_000;

/** Why a process ends by itself. */
interface ProcessFailure {
  readonly program: string;
  readonly error: Error;
  /** Exit status. */
  readonly status: number;
}

/**
 * Writes the last line of the log of a process that ends by itself. The process may
 * not run any further, so this does not return before the line is written.
 *
 * @example
 * writeFailure({program: 'whinreel-entry', error, status: 1});
 */
export function writeFailure({program, error, status}: ProcessFailure): void {
  const {name, message, stack = ''} = error;
  const line = JSON.stringify({
    time: new Date().toISOString(),
    program,
    event: 'process-failed',
    subject: 'process',
    id: program,
    reason: message.slice(0, MAX_REASON_LENGTH),
    error: name,
    status,
    stack: stack.slice(0, MAX_STACK_LENGTH),
  });
  try {
    writeSync(STDOUT_DESCRIPTOR, `${line}\n`);
  } catch {
    // Nobody reads the log, or its pipe is full; standard error has the message as well.
  }
}
