const POLL_MS = 20;
const DEFAULT_TIMEOUT_MS = 30_000;

/** Polls until a condition holds; after the timeout, fails with its name and its last error. */
export async function waitUntil<T>(
  what: string | (() => string),
  probe: () => T | undefined | false | Promise<T | undefined | false>,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<T> {
  const deadline = performance.now() + timeoutMs;
  let lastError: unknown;
  while (performance.now() < deadline) {
    try {
      const found = await probe();
      if (found !== undefined && found !== false) {
        return found;
      }
    } catch (error) {
      lastError = error;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  throw new Error(
    `${typeof what === 'string' ? what : what()}: not within ${timeoutMs} ms${lastError ? ` (${String(lastError)})` : ''}`,
  );
}
