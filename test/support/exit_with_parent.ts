/**
 * Preloaded into binaries that a test, demo or benchmark starts: the process
 * exits once its parent has exited or crashed, which closes its standard input.
 */
process.stdin.once('end', () => process.exit(1)).resume();
