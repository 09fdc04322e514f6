/**
 * Loaded before a binary that a test, demo or benchmark starts: the process
 * ends when whoever started it is gone, however that came about.
 */
process.stdin.once('end', () => process.exit(1)).resume();
