#!/usr/bin/env node
/** Command-line tool for operators. */
import {CommanderError} from 'commander';
import {VError} from 'verror';
import {UsageError} from '../config/usage_error';
import {createProgram} from '../operator/create_program';
import {EXIT_CODES} from '../operator/exit_codes';

const program = createProgram({write: text => process.stdout.write(text)});

program
  .parseAsync(process.argv)
  .then(() => process.exit(EXIT_CODES.done))
  .catch((error: Error) => {
    if (error instanceof CommanderError) {
      process.exit(error.exitCode === 0 ? EXIT_CODES.done : EXIT_CODES.usage);
    }
    process.stderr.write(`whinreel: ${error.message}\n`);
    process.exit(findExitCode(error));
  });

function findExitCode(error: Error): number {
  if (error instanceof UsageError) {
    return EXIT_CODES.usage;
  }
  const kind =
    (VError.info(error) as {kind?: keyof typeof EXIT_CODES}).kind ?? 'failed';
  return EXIT_CODES[kind];
}
