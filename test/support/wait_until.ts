const POLL_MS = 20;
const DEFAULT_TIMEOUT_MS = 30_000;

/** Polls until a condition holds; fails with its name when it does not. */
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
