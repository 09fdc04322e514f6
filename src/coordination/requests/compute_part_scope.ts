/** Finds out to which requests the evidence against a part of a prompt applies. */
import {PartHolder} from './part_holder';

/** Length of the prefix of a request's name that identifies its caller. */
const CALLER_DIGITS = 8;

/** The requests that a verdict on a part covers. */
interface PartScope {
  /** Parts that came with it each time, so that either may be the cause: only requests with all of them are covered. */
  readonly companions: readonly string[];
  /**
   * Set while all evidence is from a single caller: only its requests are covered, since a caller
   * may name parts of others' prompts in requests that crash for another reason.
   */
  readonly caller: string | undefined;
}

/**
 * Computes the scope of a part from the requests that held it.
 *
 * @example
 * computePartScope('part:a@m', holders); // {companions: ['part:b@m'], caller: undefined}
 */
export function computePartScope(
  name: string,
  holders: readonly PartHolder[],
): PartScope {
  const [first, ...others] = holders;
  const callers = new Set(
    holders.map(({request}) => request.slice(0, CALLER_DIGITS)),
  );
  const [caller] = callers;
  return {
    companions: (first?.parts ?? []).filter(
      part => part !== name && others.every(({parts}) => parts.includes(part)),
    ),
    caller: callers.size === 1 ? caller : undefined,
  };
}
