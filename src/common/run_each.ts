/**
 * Runs every step, whichever of them fails, so that one failure does not keep what the
 * others return.
 *
 * @returns what the failed steps threw
 * @example
 * const [fault] = runEach([() => slot.release(), () => permit.release()]);
 */
export function runEach(steps: ReadonlyArray<() => void>): Error[] {
  const faults: Error[] = [];
  for (const step of steps) {
    try {
      step();
    } catch (error) {
      faults.push(error as Error);
    }
  }
  return faults;
}
